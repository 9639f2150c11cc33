package reedmux.control.store;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;
import reedmux.common.eventloop.ScriptedEnvironment;

/** A scripted environment with a disk, whose tasks run when the test says so. */
public final class DiskEnvironment extends ScriptedEnvironment {
    /** What the process has given to the thread of its disk, the oldest first. */
    public final Deque<Runnable> diskTasks = new ArrayDeque<>();

    private final Volume volume;

    /** Its clock begins at 0. */
    public DiskEnvironment(Volume volume) {
        super(0);
        this.volume = volume;
    }

    /** Runs the oldest task of the disk, if there is one, and what the reactor is told of it. */
    public void runDiskTask() {
        Runnable task = diskTasks.poll();
        if (task != null) {
            task.run();
        }
        runReactorOnce();
    }

    /** Runs the reactor and the disk until neither has anything to do. */
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
