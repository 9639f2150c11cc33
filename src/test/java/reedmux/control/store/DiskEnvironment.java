package reedmux.control.store;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;
import reedmux.common.eventloop.ScriptedEnvironment;

/** A scripted environment with a disk whose queued tasks run only when the test runs them. */
public final class DiskEnvironment extends ScriptedEnvironment {
    /** The tasks queued for the disk thread, oldest first. */
    public final Deque<Runnable> diskTasks = new ArrayDeque<>();

    private final Volume volume;

    /** Creates an environment whose clock starts at 0. */
    public DiskEnvironment(Volume volume) {
        super(0);
        this.volume = volume;
    }

    /** Runs the oldest disk task, if there is one, and then the reactor tasks that report its outcome. */
    public void runDiskTask() {
        Runnable task = diskTasks.poll();
        if (task != null) {
            task.run();
        }
        runReactorOnce();
    }

    /** Runs the reactor and the queued disk tasks until no disk task is left. */
    public void runUntilIdle() {
        runReactorOnce();
        while (!diskTasks.isEmpty()) {
            runDiskTask();
        }
    }

    @Override
    public Volume volume(Path folder) {
        return volume;
    }

    @Override
    public Executor newWorker(String name, int maxQueued) {
        return diskTasks::add;
    }
}
