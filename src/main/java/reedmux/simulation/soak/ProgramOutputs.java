package reedmux.simulation.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.logging.InvariantMonitor;

/** Searches what programs wrote for failures that they reported themselves. */
final class ProgramOutputs {
    private static final int MAX_LINES_PER_PROGRAM = 3;

    private ProgramOutputs() {}

    /** Returns the first lines of each of a machine's programs that report a failure. */
    static List<String> failures(SoakMachine machine) throws IOException {
        List<String> failures = new ArrayList<>();
        for (String program : machine.programs()) {
            Path output = machine.outputOf(program);
            if (Files.exists(output)) {
                Files.readAllLines(output).stream()
                        .filter(ProgramOutputs::reportsFailure)
                        .limit(MAX_LINES_PER_PROGRAM)
                        .forEach(line -> failures.add(machine.name() + ": " + line));
            }
        }
        return failures;
    }

    private static boolean reportsFailure(String line) {
        return line.contains(InvariantMonitor.LOG_PREFIX)
                || line.contains("Exception")
                || line.contains("OutOfMemoryError")
                || line.contains("the old settings stay");
    }
}
