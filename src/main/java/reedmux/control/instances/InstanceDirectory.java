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
 * The incarnations of all instances, as one process knows them. Registries and proxies each have a directory, and
 * replicate it by merging reports, which may come in any order and more than once:
 *
 * <ul>
 *   <li>Phases are a ratchet: an incarnation goes from ready to draining to gone, and no report takes it back.
 *   <li>The registry that an instance sends its heartbeats to is its owner, and only that one says from the heartbeats
 *       whether the instance is responsive. Everybody else takes an instance for responsive as long as its owner sends
 *       heartbeats itself, so that the heartbeats of instances need not be replicated.
 *   <li>An owner that hears somebody else call its instance unresponsive refutes it by reporting the instance again.
 *   <li>An address has one incarnation at a time. A heartbeat claims its address; the previous incarnation there is
 *       gone once it has missed its heartbeats for {@link #ADDRESS_HOLD_MICROS}. Reports of others claim no address, as
 *       they may be older than the incarnation that has it.
 * </ul>
 *
 * <p>Changes are numbered by the process's {@link ChangeCounter}. Pure; times are microseconds of the caller's clock.
 * Not thread-safe.
 */
public final class InstanceDirectory {
    /** How long what has ended is kept, so that no late report brings it back. */
    static final long RETENTION_MICROS = 600_000_000;

    private static final long MICROS_PER_MILLI = 1000;
    /** More than two of the usual heartbeat intervals. */
    private static final long ADDRESS_HOLD_MICROS = 4_000_000;

    private static final long NO_SEQUENCE = -1;

    private final Map<String, InstanceEntry> entries = new LinkedHashMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final ChangeList<InstanceEntry> changeOrder = new ChangeList<>();
    private final ChangeList<InstanceEntry> ownerChangeOrder = new ChangeList<>();
    private final RegistryHeartbeatTable registries;
    private final ChangeCounter counter;
    private final long localProcessId;

    /** One incarnation here. */
    private static final class InstanceEntry {
        private InstanceIncarnation incarnation;
        /** When a report with a higher sequence came last. */
        private long lastReportMicros;

        private long slowStartEndMicros;
        private final ChangeListNode<InstanceEntry> changeNode = new ChangeListNode<>(this);
        /** Null while it is not known. */
        private RegistryProcess owner;
        /** Of the heartbeat by which the owner is known to be it. */
        private long ownerSequence;
        /** Null as long as the owner is. */
        private ChangeListNode<InstanceEntry> ownerChangeNode;
        /** The incarnation that was reported to have this one's address now, or null. */
        private String addressClaimantId;

        private boolean isGone() {
            return incarnation.phase() == InstanceIncarnation.GONE;
        }
    }

    /**
     * Creates the directory of a registry.
     *
     * @param localProcessId the registry's incarnation; it owns the instances whose heartbeats it receives
     * @param counter numbers the changes
     */
    public InstanceDirectory(long localProcessId, ChangeCounter counter) {
        this.localProcessId = localProcessId;
        this.counter = counter;
        registries = new RegistryHeartbeatTable(localProcessId);
    }

    /** Creates the directory of a process that receives no heartbeats and that nobody pulls from. */
    public InstanceDirectory() {
        this(0, new ChangeCounter());
    }

    private void markChanged(InstanceEntry entry) {
        changeOrder.moveToNewest(entry.changeNode, counter.next());
    }

    // ---- Reports on instances -----------------------------------------------------------------------

    /** Applies a heartbeat that an instance has sent to this registry; returns whether others need to know. */
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

    /** Applies what somebody else reports; returns whether others need to know. */
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

    /** Returns whether this ends the previous incarnation at the address. */
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

    /** Ends an instance of ours whose address another one claims elsewhere, once it has missed its heartbeats. */
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

    /** Applies what another registry states about an instance's owner; without effect for unknown instances. */
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
            setOwner(entry, entry.owner, knownSequence); // a change, so that the sender hears who the owner is
        }
    }

    /** Returns the owners that have changed after a change. */
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

    /** Applies a heartbeat of a registry, from itself or forwarded. */
    public void onRegistryHeartbeat(RegistryHeartbeat heartbeat, long now) {
        registries.onHeartbeat(heartbeat, now);
    }

    /** Counts on for this registry; returns its heartbeat, and behind it those of others to forward. */
    public List<RegistryHeartbeat> nextHeartbeats(long now) {
        return registries.nextHeartbeats(now);
    }

    // ---- Time-outs ----------------------------------------------------------------------------------

    /** When an instance counts as heard of: by its own heartbeats, or by those of an owner elsewhere. */
    private long lastContactMicros(InstanceEntry entry) {
        return entry.owner == null || isOwnedHere(entry)
                ? entry.lastReportMicros
                : Math.max(entry.lastReportMicros, entry.owner.lastAdvanceMicros());
    }

    /**
     * Marks the instances that were not heard of for {@code timeoutMicros} as unresponsive, and forgets those that have
     * ended long ago. Returns how many have become unresponsive.
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

    /** Returns the incarnation with an id, or null where it is not known. */
    public InstanceIncarnation get(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? null : withRemainingSlowStart(entry, now);
    }

    /** How many milliseconds ago an instance was last heard of; -1 where it is not known. */
    public long millisSinceLastContact(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? -1 : (now - lastContactMicros(entry)) / MICROS_PER_MILLI;
    }

    private static InstanceIncarnation withRemainingSlowStart(InstanceEntry entry, long now) {
        InstanceIncarnation incarnation = entry.incarnation;
        long slowStartMillis = Math.max(0, (entry.slowStartEndMicros - now) / MICROS_PER_MILLI);
        return incarnation.withStatus(incarnation.phase(), incarnation.unresponsive(), slowStartMillis);
    }

    /** The number of the last change of an instance; 0 before the first one. */
    public long lastChange() {
        return changeOrder.lastChange();
    }

    /** Returns the incarnations that have changed after a change, the oldest change first. */
    public List<InstanceIncarnation> changedSince(long change, long now) {
        List<InstanceIncarnation> changed = new ArrayList<>();
        ChangeListNode<InstanceEntry> listNode = changeOrder.firstAfterChange(change);
        while (listNode != null) {
            changed.add(withRemainingSlowStart(listNode.value(), now));
            listNode = changeOrder.nextNewer(listNode);
        }
        return changed;
    }

    /** Returns all incarnations, also those that are gone and still kept, the oldest change first. */
    public Collection<InstanceIncarnation> all(long now) {
        return changedSince(0, now);
    }
}
