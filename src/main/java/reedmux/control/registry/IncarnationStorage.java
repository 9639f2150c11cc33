package reedmux.control.registry;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.store.JournalWriter;

/**
 * Stores the known instances on disk, so that after all processes have failed at once, requests can be routed without
 * waiting for the next heartbeat of each instance.
 *
 * <ul>
 *   <li>All instances are written as a new generation of the journal, some time after a change. No response depends on
 *       this: instances report missing or outdated entries again with their heartbeats.
 *   <li>That an instance is draining or gone is appended at once ({@link #persist}), because an instance that has left
 *       reports nothing any more. The report is acknowledged only once it is durable.
 * </ul>
 *
 * <p>Disk I/O runs on the thread of the {@link JournalWriter}, everything else on the reactor's thread.
 */
final class IncarnationStorage implements InstancePersistence {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    /** Delay after a failed write, so that retries do not keep filling a full disk. */
    private static final long RETRY_DELAY_MICROS = 2_000_000;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final InstanceDirectory directory;
    private final Journal journal;
    private final JournalWriter writer;
    /** The last change of the directory that the current generation includes. */
    private long savedChange;

    private long nextAttemptMicros;
    private boolean generationInProgress;
    /** Whether records can be appended to the current generation. */
    private boolean appendable;
    /** The phases that are durable, by the ids of the instances. */
    private final Map<String, Integer> durablePhases = new HashMap<>();
    /** Instances that are persisted once the generation in progress is durable. */
    private final List<WaitingInstance> waiting = new ArrayList<>();

    private record WaitingInstance(InstanceIncarnation instance, Consumer<Boolean> onOutcome) {}

    /** Loads the stored instances into the directory, then schedules periodic writes of changes. */
    IncarnationStorage(Path folder, Reactor reactor, MessageCodec codec, InstanceDirectory directory) {
        this.reactor = reactor;
        this.codec = codec;
        this.directory = directory;
        journal = new Journal(reactor.volume(folder));
        writer = new JournalWriter(journal, reactor);
        recover();
        savedChange = directory.lastChange();
        reactor.scheduleEvery(WRITE_INTERVAL_MICROS, this::saveChanges);
    }

    private void recover() {
        List<byte[]> records = journal.recover();
        journal.problems().forEach(problem -> reactor.error("disk: " + problem));
        for (int i = 0; i < records.size(); i++) {
            byte[] record = records.get(i);
            if (codec.decodeOrNull(record) instanceof IncarnationNotice notice) {
                notice.instances().forEach(instance -> directory.merge(instance, reactor.now()));
            } else {
                reactor.error("disk: " + journal.recordLocation(i) + ": a record that this program does not know, of "
                        + record.length + " bytes");
            }
        }
    }

    @Override
    public void persist(InstanceIncarnation instance, Consumer<Boolean> onOutcome) {
        if (isDurable(instance)) {
            onOutcome.accept(true);
        } else if (generationInProgress) {
            waiting.add(new WaitingInstance(instance, onOutcome));
        } else if (appendable) {
            append(instance, onOutcome);
        } else if (reactor.now() < nextAttemptMicros) {
            onOutcome.accept(false);
        } else {
            waiting.add(new WaitingInstance(instance, onOutcome));
            startGeneration();
        }
    }

    private boolean isDurable(InstanceIncarnation instance) {
        return durablePhases.getOrDefault(instance.id(), InstanceIncarnation.READY) >= instance.phase();
    }

    private void append(InstanceIncarnation instance, Consumer<Boolean> onOutcome) {
        writer.append(codec.encode(new IncarnationNotice(0, List.of(instance))), durable -> {
            appendable &= !writer.isBroken();
            if (durable) {
                durablePhases.merge(instance.id(), instance.phase(), Math::max);
            }
            onOutcome.accept(durable);
        });
    }

    private void saveChanges() {
        boolean changed = directory.lastChange() != savedChange;
        if (changed && !generationInProgress && reactor.now() >= nextAttemptMicros) {
            startGeneration();
        }
    }

    /** Writes all instances, including those that wait, to a new generation. */
    private void startGeneration() {
        generationInProgress = true;
        long change = directory.lastChange();
        List<InstanceIncarnation> instances = new ArrayList<>(directory.all(reactor.now()));
        byte[] record = codec.encode(new IncarnationNotice(0, instances));
        writer.startGeneration(List.of(record), durable -> onGenerationWritten(change, instances, durable));
    }

    private void onGenerationWritten(long change, List<InstanceIncarnation> instances, boolean durable) {
        generationInProgress = false;
        appendable = !writer.isBroken();
        if (durable) {
            savedChange = change;
            nextAttemptMicros = 0;
            durablePhases.clear();
            instances.forEach(instance -> durablePhases.put(instance.id(), instance.phase()));
        } else {
            nextAttemptMicros = reactor.now() + RETRY_DELAY_MICROS;
        }
        List<WaitingInstance> resumed = List.copyOf(waiting);
        waiting.clear();
        resumed.forEach(next -> persist(next.instance(), next.onOutcome()));
    }
}
