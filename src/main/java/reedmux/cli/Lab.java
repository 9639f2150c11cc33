package reedmux.cli;

/** Scenes; filled in by what follows. */
public final class Lab extends Main.Command {
    @Override
    int run() {
        return 0;
    }
}
