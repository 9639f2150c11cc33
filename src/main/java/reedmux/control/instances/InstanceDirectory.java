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

/**
 * The lives of all checkers, as one process knows them. The phase of a life is a ratchet: ready, draining,
 * gone, whoever tells of it and in whatever order. Pure; times are microseconds that the caller tells.
 */
public final class InstanceDirectory {
    private static final long MICROS_PER_MILLI = 1000;
    /** Lives that have ended are remembered for so long, so that nothing late brings them back. */
    private static final long RETENTION_MICROS = 600_000_000;
    /** Who has called within this still has its address, whoever else says so: over two usual periods. */
    private static final long ADDRESS_HOLD_MICROS = 4_000_000;
    /** Registries that were heard of within this are told on. */
    private static final long HEARTBEAT_FORWARD_MICROS = 3_000_000;

    /** One life here. */
    private static final class InstanceEntry {
        private CheckerIncarnation incarnation;
        private long lastHeardMicros;
        private long slowStartEndMicros;
        private final ChangeList.ChangeListNode<InstanceEntry> changeNode = new ChangeList.ChangeListNode<>(this);
        /** The registry that it calls, with the number of the call that says so; null if unknown. */
        private RegistryProcess owner;

        private long ownerSequence;
        private ChangeList.ChangeListNode<InstanceEntry> ownerChangeNode;
        /** Who says that it has this one's address now. */
        private String addressClaimantId;
    }

    /** A process of a registry, by the number that was drawn at its start. */
    private static final class RegistryProcess {
        private final long processId;
        private long heartbeatCount;
        private long lastAdvanceMicros;

        private RegistryProcess(long process) {
            this.processId = process;
        }
    }

    /** That a checker has called a registry's process, with the number of that call. */
    public record InstanceOwner(String instanceId, long sequence, long processId) {}

    /** That a registry's process has come so far in counting, as it does while it lives. */
    public record RegistryHeartbeat(long processId, long count) {}

    private final Map<String, InstanceEntry> entries = new LinkedHashMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final ChangeList<InstanceEntry> changeOrder = new ChangeList<>();
    private final ChangeList<InstanceEntry> ownerChangeOrder = new ChangeList<>();
    private final Map<Long, RegistryProcess> registryProcesses = new HashMap<>();
    private final ChangeCounter counter;
    private final long localProcessId;

    /**
     * A registry's.
     *
     * @param self    its process, which owns the checkers that call it
     * @param counter numbers what is told to others
     */
    public InstanceDirectory(long self, ChangeCounter counter) {
        this.localProcessId = self;
        this.counter = counter;
    }

    public InstanceDirectory() {
        this(0, new ChangeCounter());
    }

    private void markChanged(InstanceEntry entry) {
        changeOrder.moveToNewest(entry.changeNode, counter.next());
    }

    /**
     * Takes in a checker's own call: with it, it holds its address. Returns whether there was any news in it
     * for others.
     */
    public boolean onHeartbeat(CheckerIncarnation told, long now) {
        boolean news = merge(told, now);
        InstanceEntry entry = entries.get(told.id());
        if (entry.owner == null || entry.owner.processId != localProcessId && told.sequence() >= entry.ownerSequence) {
            setOwner(entry, registryProcess(localProcessId, now), told.sequence());
        } else if (entry.owner.processId == localProcessId) {
            entry.ownerSequence = Math.max(entry.ownerSequence, told.sequence());
        }
        return claimAddress(entry.incarnation, now) | news;
    }

    /** Takes in what somebody else tells; returns whether there was any news in it for others. */
    public boolean merge(CheckerIncarnation told, long now) {
        InstanceEntry entry = entries.get(told.id());
        if (entry == null) {
            entry = new InstanceEntry();
            entries.put(told.id(), entry);
            entry.incarnation = told;
            entry.lastHeardMicros = now;
            entry.slowStartEndMicros = now + told.slowStartMillis() * MICROS_PER_MILLI;
            markChanged(entry);
            if (told.phase() != CheckerIncarnation.GONE) {
                String holder = idByAddress.putIfAbsent(told.address(), told.id());
                if (holder != null && entries.containsKey(holder)) {
                    entries.get(holder).addressClaimantId = told.id();
                }
            }
            return true;
        }
        CheckerIncarnation had = entry.incarnation;
        boolean newer = told.sequence() > had.sequence();
        CheckerIncarnation base = newer ? told : had;
        if (newer) {
            entry.lastHeardMicros = now;
            entry.slowStartEndMicros = now + told.slowStartMillis() * MICROS_PER_MILLI;
        }
        int phase = Math.max(had.phase(), told.phase());
        boolean silent = told.sequence() >= had.sequence() ? told.unresponsive() : had.unresponsive();
        entry.incarnation = base.withPhase(phase, silent, 0);
        boolean news = phase != had.phase()
                || silent != had.unresponsive()
                || !base.address().equals(had.address())
                || base.capacity() != had.capacity();
        if (news || told.unresponsive() && !silent && entry.owner != null && entry.owner.processId == localProcessId) {
            markChanged(entry); // also where we know better than who told
        }
        return news;
    }

    /**
     * An address has one incarnation at a time: who had it before and has not called for a while is gone. By
     * its own calls alone: what others tell comes in any order, and must not end one that lives for one that
     * had its address before.
     */
    private boolean claimAddress(CheckerIncarnation holder, long now) {
        if (holder.phase() == CheckerIncarnation.GONE) {
            return false;
        }
        String before = idByAddress.get(holder.address());
        InstanceEntry old = before == null || before.equals(holder.id()) ? null : entries.get(before);
        if (old != null
                && old.incarnation.phase() != CheckerIncarnation.GONE
                && !old.incarnation.unresponsive()
                && now - lastHeardMicros(old) <= ADDRESS_HOLD_MICROS) {
            return false;
        }
        idByAddress.put(holder.address(), holder.id());
        if (old == null || old.incarnation.phase() == CheckerIncarnation.GONE) {
            return false;
        }
        old.incarnation = old.incarnation.withPhase(CheckerIncarnation.GONE, old.incarnation.unresponsive(), 0);
        markChanged(old);
        return true;
    }

    // ---- Owners ------------------------------------------------------------------------------------
    private RegistryProcess registryProcess(long process, long now) {
        RegistryProcess owner = registryProcesses.get(process);
        if (owner == null) {
            owner = new RegistryProcess(process);
            owner.lastAdvanceMicros = now;
            registryProcesses.put(process, owner);
        }
        return owner;
    }

    private void setOwner(InstanceEntry entry, RegistryProcess owner, long seq) {
        if (entry.ownerChangeNode == null) {
            entry.ownerChangeNode = new ChangeList.ChangeListNode<>(entry);
        }
        entry.owner = owner;
        entry.ownerSequence = seq;
        ownerChangeOrder.moveToNewest(entry.ownerChangeNode, counter.next());
    }

    /** A registry says whom a checker called under that number; of two the higher one holds. */
    public void mergeOwner(InstanceOwner told, long now) {
        InstanceEntry entry = entries.get(told.instanceId());
        if (entry == null) {
            return;
        }
        long had = entry.owner == null ? -1 : entry.ownerSequence;
        if (told.sequence() > had || told.sequence() == had && told.processId() > entry.owner.processId) {
            setOwner(entry, registryProcess(told.processId(), now), told.sequence());
        } else if (told.processId() != entry.owner.processId) {
            setOwner(entry, entry.owner, had); // whoever said so is to hear who knows better
        }
    }

    /** Whose owner has changed since. */
    public List<InstanceOwner> ownersChangedSince(long change) {
        List<InstanceOwner> all = new ArrayList<>();
        ChangeList.ChangeListNode<InstanceEntry> at = ownerChangeOrder.firstAfterChange(change);
        for (; at != null; at = ownerChangeOrder.nextNewer(at)) {
            InstanceEntry entry = at.value();
            all.add(new InstanceOwner(entry.incarnation.id(), entry.ownerSequence, entry.owner.processId));
        }
        return all;
    }

    /** Somebody has heard a registry count so far: that is news of it only if it is further than before. */
    public void onRegistryHeartbeat(RegistryHeartbeat told, long now) {
        RegistryProcess owner = registryProcess(told.processId(), now);
        if (told.count() > owner.heartbeatCount) {
            owner.heartbeatCount = told.count();
            owner.lastAdvanceMicros = now;
        }
    }

    /** How far we have heard registries count lately, ourselves first, who count on with each call. */
    public List<RegistryHeartbeat> nextHeartbeats(long now) {
        registryProcess(localProcessId, now).heartbeatCount++;
        List<RegistryHeartbeat> all = new ArrayList<>();
        all.add(new RegistryHeartbeat(localProcessId, registryProcess(localProcessId, now).heartbeatCount));
        for (Iterator<RegistryProcess> at = registryProcesses.values().iterator(); at.hasNext(); ) {
            RegistryProcess owner = at.next();
            if (owner.processId != localProcessId && now - owner.lastAdvanceMicros <= HEARTBEAT_FORWARD_MICROS) {
                all.add(new RegistryHeartbeat(owner.processId, owner.heartbeatCount));
            } else if (owner.processId != localProcessId && now - owner.lastAdvanceMicros > RETENTION_MICROS) {
                at.remove();
            }
        }
        return all;
    }

    /** When somebody heard of it last: who has an owner is heard of as long as that one is. */
    private long lastHeardMicros(InstanceEntry entry) {
        return entry.owner == null || entry.owner.processId == localProcessId
                ? entry.lastHeardMicros
                : Math.max(entry.lastHeardMicros, entry.owner.lastAdvanceMicros);
    }

    /**
     * Notes who has not been heard of for {@code silence}, and forgets whose end is long ago. Returns how
     * many have fallen silent.
     */
    public int detectTimeouts(long now, long silence) {
        int fell = 0;
        for (Iterator<InstanceEntry> all = entries.values().iterator(); all.hasNext(); ) {
            InstanceEntry entry = all.next();
            if (entry.incarnation.phase() == CheckerIncarnation.GONE
                    && now - entry.lastHeardMicros > RETENTION_MICROS) {
                all.remove();
                changeOrder.remove(entry.changeNode);
                if (entry.ownerChangeNode != null) {
                    ownerChangeOrder.remove(entry.ownerChangeNode);
                }
                idByAddress.remove(entry.incarnation.address(), entry.incarnation.id());
            }
        }
        for (InstanceEntry entry : entries.values()) {
            if (entry.addressClaimantId != null) {
                resolveAddressClaim(entry, now);
            }
            if (!entry.incarnation.unresponsive()
                    && entry.incarnation.phase() != CheckerIncarnation.GONE
                    && now - lastHeardMicros(entry) > silence) {
                entry.incarnation = entry.incarnation.withPhase(entry.incarnation.phase(), true, 0);
                markChanged(entry);
                fell++;
            }
        }
        return fell;
    }

    /** Whom we hear ourselves has lost its address to another once it has not called for a while. */
    private void resolveAddressClaim(InstanceEntry entry, long now) {
        InstanceEntry rival = entries.get(entry.addressClaimantId);
        if (rival == null || rival.incarnation.phase() == CheckerIncarnation.GONE || rival.incarnation.unresponsive()) {
            entry.addressClaimantId = null;
        } else if (entry.incarnation.phase() != CheckerIncarnation.GONE
                && entry.owner != null
                && entry.owner.processId == localProcessId
                && now - entry.lastHeardMicros > ADDRESS_HOLD_MICROS) {
            idByAddress.put(rival.incarnation.address(), rival.incarnation.id());
            entry.incarnation =
                    entry.incarnation.withPhase(CheckerIncarnation.GONE, entry.incarnation.unresponsive(), 0);
            markChanged(entry);
        }
    }

    public CheckerIncarnation get(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? null : current(entry, now);
    }

    /** How long ago it was heard of, in milliseconds, or -1 where it is not known. */
    public long millisSinceHeard(String id, long now) {
        InstanceEntry entry = entries.get(id);
        return entry == null ? -1 : (now - lastHeardMicros(entry)) / MICROS_PER_MILLI;
    }

    private static CheckerIncarnation current(InstanceEntry entry, long now) {
        return entry.incarnation.withPhase(
                entry.incarnation.phase(),
                entry.incarnation.unresponsive(),
                Math.max(0, (entry.slowStartEndMicros - now) / MICROS_PER_MILLI));
    }

    /** The number of the last change. */
    public long lastChange() {
        return changeOrder.lastChange();
    }

    /** What has changed since. */
    public List<CheckerIncarnation> changedSince(long change, long now) {
        List<CheckerIncarnation> news = new ArrayList<>();
        for (ChangeList.ChangeListNode<InstanceEntry> at = changeOrder.firstAfterChange(change);
                at != null;
                at = changeOrder.nextNewer(at)) {
            news.add(current(at.value(), now));
        }
        return news;
    }

    public Collection<CheckerIncarnation> all(long now) {
        return changedSince(0, now);
    }
}
