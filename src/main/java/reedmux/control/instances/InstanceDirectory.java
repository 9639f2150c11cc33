package reedmux.control.instances;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.changes.ChangeList;
import reedmux.control.changes.ChangeList.ChangeListNode;
import reedmux.control.instances.RegistryHeartbeatTable.RegistryProcess;

/**
 * The incarnations of all instances that one process knows. Each registry and proxy has a directory and replicates it
 * by merging reports, which may arrive in any order and more than once:
 *
 * <ul>
 *   <li>The phase of an incarnation only advances, from ready to draining to gone; no report reverts it.
 *   <li>The registry that receives an instance's heartbeats is its owner. Only the owner determines from these
 *       heartbeats whether the instance is responsive. All other processes consider the instance responsive as long as
 *       the owner itself sends heartbeats, so the heartbeats of instances need not be replicated.
 *   <li>An owner that receives a report that its instance is unresponsive refutes it by reporting the instance again.
 *   <li>An address belongs to one incarnation at a time. A heartbeat claims its address; the previous incarnation at
 *       the address is marked as gone once its heartbeats have been missing for {@link #ADDRESS_HOLD_MICROS}. Reports
 *       from other processes claim no address, because they may be older than the incarnation that holds it.
 * </ul>
 *
 * <p>The process's {@link ChangeCounter} numbers the changes. Uses no I/O, threads or clocks; times are microseconds of
 * the caller's clock. Not thread-safe.
 */
public final class InstanceDirectory {
    /** How long ended incarnations and registry processes are retained, so that no late report adds them again. */
    static final long RETENTION_MICROS = 600_000_000;

    private static final long MICROS_PER_MILLI = 1000;
    /**
     * How long an incarnation holds its address after its last heartbeat. This is more than two of the usual heartbeat
     * intervals.
     */
    private static final long ADDRESS_HOLD_MICROS = 4_000_000;

    private static final long NO_SEQUENCE = -1;

    private final Map<String, InstanceEntry> entries = new LinkedHashMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final ChangeList<InstanceEntry> changeOrder = new ChangeList<>();
    private final ChangeList<InstanceEntry> ownerChangeOrder = new ChangeList<>();
    private final RegistryHeartbeatTable registries;
    private final ChangeCounter counter;
    private final long localProcessId;

    /** The local state of one incarnation. */
    private static final class InstanceEntry {
        private InstanceIncarnation incarnation;
        /** When the last report with a higher sequence than before was received. */
        private long lastReportMicros;

        private long slowStartEndMicros;
        private final ChangeListNode<InstanceEntry> changeNode = new ChangeListNode<>(this);
        /** The registry that receives the heartbeats; null if unknown. */
        private RegistryProcess owner;
        /** The sequence of the latest heartbeat that the owner is known to have received. */
        private long ownerSequence;
        /** The node in the list of owner changes; null as long as the owner is unknown. */
        private ChangeListNode<InstanceEntry> ownerChangeNode;
        /** The incarnation that was reported as the new holder of this one's address, or null. */
        private String addressClaimantId;

        private boolean isGone() {
            return incarnation.phase() == InstanceIncarnation.GONE;
        }
    }

    /**
     * Creates the directory of a registry.
     *
     * @param localProcessId the incarnation of the registry, which owns the instances whose heartbeats it receives
     * @param counter assigns the change numbers
     */
    public InstanceDirectory(long localProcessId, ChangeCounter counter) {
        this.localProcessId = localProcessId;
        this.counter = counter;
        registries = new RegistryHeartbeatTable(localProcessId);
    }

    /** Creates the directory of a process that receives no heartbeats and whose changes are not pulled by others. */
    public InstanceDirectory() {
        this(0, new ChangeCounter());
    }

    private void markChanged(InstanceEntry entry) {
        changeOrder.moveToNewest(entry.changeNode, counter.next());
    }

    // ---- Reports on instances -----------------------------------------------------------------------

    /** Applies a heartbeat from an instance to this registry; returns whether it changes replicated state. */
    public boolean onHeartbeat(InstanceIncarnation reported, long now) {
        boolean changed = merge(reported, now);
        InstanceEntry entry = entries.get(reported.id());
        if (isOwnedHere(entry)) {
            entry.ownerSequence = Math.max(entry.ownerSequence, reported.sequence());
        } else if (entry.owner == null || reported.sequence() >= entry.ownerSequence) {
            setOwner(entry, registries.process(localProcessId, now), reported.sequence());
        }
        return claimAddress(entry, now) | changed;
    }

    /** Merges a report from another process; returns whether it changes replicated state. */
    public boolean merge(InstanceIncarnation reported, long now) {
        InstanceEntry entry = entries.get(reported.id());
        if (entry == null) {
            add(reported, now);
            return true;
        }
        return update(entry, reported, now);
    }

    private void add(InstanceIncarnation reported, long now) {
        InstanceEntry entry = new InstanceEntry();
        entries.put(reported.id(), entry);
        entry.incarnation = reported;
        entry.lastReportMicros = now;
        entry.slowStartEndMicros = now + reported.slowStartMillis() * MICROS_PER_MILLI;
        markChanged(entry);
        if (!entry.isGone()) {
            String holderId = idByAddress.putIfAbsent(reported.address(), reported.id());
            InstanceEntry holder = holderId == null ? null : entries.get(holderId);
            if (holder != null) {
                holder.addressClaimantId = reported.id();
            }
        }
    }

    private boolean update(InstanceEntry entry, InstanceIncarnation reported, long now) {
        InstanceIncarnation known = entry.incarnation;
        boolean newer = reported.sequence() > known.sequence();
        if (newer) {
            entry.lastReportMicros = now;
            entry.slowStartEndMicros = now + reported.slowStartMillis() * MICROS_PER_MILLI;
        }
        InstanceIncarnation latest = newer ? reported : known;
        int phase = Math.max(known.phase(), reported.phase());
        boolean unresponsive = reported.sequence() >= known.sequence() ? reported.unresponsive() : known.unresponsive();
        entry.incarnation = latest.withStatus(phase, unresponsive, 0);
        boolean changed = phase != known.phase()
                || unresponsive != known.unresponsive()
                || !latest.address().equals(known.address())
                || latest.capacity() != known.capacity();
        boolean refutes = reported.unresponsive() && !unresponsive && isOwnedHere(entry);
        if (changed || refutes) {
            markChanged(entry);
        }
        return changed;
    }

    // ---- Addresses ----------------------------------------------------------------------------------

    /** Claims the address of an incarnation; returns whether this marks the previous holder as gone. */
    private boolean claimAddress(InstanceEntry claimant, long now) {
        if (claimant.isGone()) {
            return false;
        }
        String id = claimant.incarnation.id();
        String address = claimant.incarnation.address();
        String holderId = idByAddress.get(address);
        InstanceEntry holder = holderId == null || holderId.equals(id) ? null : entries.get(holderId);
        boolean held = holder != null && !holder.isGone();
        if (held && !holder.incarnation.unresponsive() && now - lastContactMicros(holder) <= ADDRESS_HOLD_MICROS) {
            return false;
        }
        idByAddress.put(address, id);
        if (held) {
            markGone(holder);
        }
        return held;
    }

    /**
     * Marks an instance owned by this registry as gone if another instance claims its address at another registry and
     * its heartbeats have been missing for {@link #ADDRESS_HOLD_MICROS}.
     */
    private void resolveAddressClaim(InstanceEntry entry, long now) {
        InstanceEntry claimant = entries.get(entry.addressClaimantId);
        if (claimant == null || claimant.isGone() || claimant.incarnation.unresponsive()) {
            entry.addressClaimantId = null;
        } else if (!entry.isGone() && isOwnedHere(entry) && now - entry.lastReportMicros > ADDRESS_HOLD_MICROS) {
            idByAddress.put(claimant.incarnation.address(), claimant.incarnation.id());
            markGone(entry);
        }
    }

    private void markGone(InstanceEntry entry) {
        entry.incarnation = entry.incarnation.withStatus(InstanceIncarnation.GONE, entry.incarnation.unresponsive(), 0);
        markChanged(entry);
    }

    // ---- Owners -------------------------------------------------------------------------------------

    private boolean isOwnedHere(InstanceEntry entry) {
        return entry.owner != null && entry.owner.id() == localProcessId;
    }

    private void setOwner(InstanceEntry entry, RegistryProcess owner, long sequence) {
        if (entry.ownerChangeNode == null) {
            entry.ownerChangeNode = new ChangeListNode<>(entry);
        }
        entry.owner = owner;
        entry.ownerSequence = sequence;
        ownerChangeOrder.moveToNewest(entry.ownerChangeNode, counter.next());
    }

    /** Merges the owner of an instance as reported by another registry. Has no effect for unknown instances. */
    public void mergeOwner(InstanceOwner reported, long now) {
        InstanceEntry entry = entries.get(reported.instanceId());
        if (entry == null) {
            return;
        }
        long knownSequence = entry.owner == null ? NO_SEQUENCE : entry.ownerSequence;
        boolean supersedes = reported.sequence() > knownSequence
                || reported.sequence() == knownSequence && reported.processId() > entry.owner.id();
        if (supersedes) {
            setOwner(entry, registries.process(reported.processId(), now), reported.sequence());
        } else if (reported.processId() != entry.owner.id()) {
            setOwner(entry, entry.owner, knownSequence); // record a change, so that the sender receives the owner
        }
    }

    /** Returns the owners that changed after the given change, the oldest change first. */
    public List<InstanceOwner> ownersChangedSince(long change) {
        List<InstanceOwner> owners = new ArrayList<>();
        ChangeListNode<InstanceEntry> listNode = ownerChangeOrder.firstAfterChange(change);
        while (listNode != null) {
            InstanceEntry entry = listNode.value();
            owners.add(new InstanceOwner(entry.incarnation.id(), entry.ownerSequence, entry.owner.id()));
            listNode = ownerChangeOrder.nextNewer(listNode);
        }
        return owners;
    }

    /** Applies a heartbeat of a registry, received either from that registry or forwarded by another one. */
    public void onRegistryHeartbeat(RegistryHeartbeat heartbeat, long now) {
        registries.onHeartbeat(heartbeat, now);
    }

    /**
     * Increments this registry's heartbeat counter; returns its heartbeat, followed by the heartbeats of other
     * registries to forward.
     */
    public List<RegistryHeartbeat> nextHeartbeats(long now) {
        return registries.nextHeartbeats(now);
    }

    // ---- Timeouts -----------------------------------------------------------------------------------

    /** Returns the time of an instance's last report, or of the last heartbeat of a remote owner if that is later. */
    private long lastContactMicros(InstanceEntry entry) {
        return entry.owner == null || isOwnedHere(entry)
                ? entry.lastReportMicros
                : Math.max(entry.lastReportMicros, entry.owner.lastAdvanceMicros());
    }

    /**
     * Marks instances without contact for more than {@code timeoutMicros} as unresponsive, and removes those that ended
     * more than {@link #RETENTION_MICROS} ago. Returns how many instances have become unresponsive.
     */
    public int detectTimeouts(long now, long timeoutMicros) {
        removeExpired(now);
        int timedOut = 0;
        for (InstanceEntry entry : entries.values()) {
            if (entry.addressClaimantId != null) {
                resolveAddressClaim(entry, now);
            }
            InstanceIncarnation incarnation = entry.incarnation;
            if (!incarnation.unresponsive() && !entry.isGone() && now - lastContactMicros(entry) > timeoutMicros) {
                entry.incarnation = incarnation.withStatus(incarnation.phase(), true, 0);
                markChanged(entry);
                timedOut++;
            }
        }
        return timedOut;
    }

    private void removeExpired(long now) {
        for (Iterator<InstanceEntry> iterator = entries.values().iterator(); iterator.hasNext(); ) {
            InstanceEntry entry = iterator.next();
            if (entry.isGone() && now - entry.lastReportMicros > RETENTION_MICROS) {
                iterator.remove();
                changeOrder.remove(entry.changeNode);
                if (entry.ownerChangeNode != null) {
                    ownerChangeOrder.remove(entry.ownerChangeNode);
                }
                idByAddress.remove(entry.incarnation.address(), entry.incarnation.id());
            }
        }
    }

    // ---- Queries ------------------------------------------------------------------------------------

    /** Returns the incarnation with the given id, or null if it is unknown. */
    public InstanceIncarnation get(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? null : withRemainingSlowStart(entry, now);
    }

    /**
     * Returns the milliseconds since the last contact with an instance, or with its remote owner if that is later; -1
     * if the instance is unknown.
     */
    public long millisSinceLastContact(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? -1 : (now - lastContactMicros(entry)) / MICROS_PER_MILLI;
    }

    private static InstanceIncarnation withRemainingSlowStart(InstanceEntry entry, long now) {
        InstanceIncarnation incarnation = entry.incarnation;
        long slowStartMillis = Math.max(0, (entry.slowStartEndMicros - now) / MICROS_PER_MILLI);
        return incarnation.withStatus(incarnation.phase(), incarnation.unresponsive(), slowStartMillis);
    }

    /** The number of the last change of an instance, or 0 before the first one. */
    public long lastChange() {
        return changeOrder.lastChange();
    }

    /** Returns the incarnations that changed after the given change, the oldest change first. */
    public List<InstanceIncarnation> changedSince(long change, long now) {
        List<InstanceIncarnation> changed = new ArrayList<>();
        ChangeListNode<InstanceEntry> listNode = changeOrder.firstAfterChange(change);
        while (listNode != null) {
            changed.add(withRemainingSlowStart(listNode.value(), now));
            listNode = changeOrder.nextNewer(listNode);
        }
        return changed;
    }

    /** Returns all incarnations including those that are gone but still retained, the oldest change first. */
    public Collection<InstanceIncarnation> all(long now) {
        return changedSince(0, now);
    }
}
