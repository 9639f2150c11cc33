package reedmux.simulation.soak;

import java.util.Random;

/** Draws settings that no program knows, of every type that TOML has, as later versions of a platform may add them. */
final class UnknownSettings {
    /** Keys with values, which may stand before the first table. */
    private static final String[] ENTRIES = {
        "placement = { row = 3, rack = \"b\", cooling = { loop.in = [1, 2.5] } }",
        "installed = 2026-02-28T07:32:00.5+01:00",
        "serviced = 2026-02-28 07:32:00",
        "warrantyEnds = 2031-12-31",
        "window = 02:30:00",
        "'literal key' = 'C:\\racks\\3'",
        "note = \"\"\"\nfirst \\\n   and \"second\"\n\"\"\"",
        "script = '''\n[sockets]\nfront = 1\n'''",
        "serial = 0xDEAD_BEEF",
        "mask = 0o755",
        "flags = 0b1101",
        "largest = 9223372036854775807",
        "smallest = -9_223_372_036_854_775_808",
        "ratio = -6.626e-34",
        "limits = [inf, -inf, nan]",
        "tags = [ # comment\n  \"a\", 'b',\n  [1, { c = true }],\n]",
        "\"sockets.front\" = 5",
        "labels.\"a.b\".c = \"\\u00e9\\U0001F600\\t\""
    };

    /** Tables, which may stand at the end of a file. */
    private static final String[] TABLES = {
        "[power]\nfeeds.a = 16\nfeeds.b = 16",
        "[[disks]]\nname = \"a\"\n[disks.smart]\nhours = 1_000\n[[disks]]\nname = 'b'",
        "[region.'north west']\nsites = []",
        "[empty]"
    };

    private UnknownSettings() {}

    /** Returns a file's text with drawn settings before and behind it. */
    static String addTo(String text, Random random) {
        int entry = random.nextInt(ENTRIES.length);
        String second = ENTRIES[(entry + 1 + random.nextInt(ENTRIES.length - 1)) % ENTRIES.length];
        return ENTRIES[entry] + '\n' + second + "\n" + text + TABLES[random.nextInt(TABLES.length)] + '\n';
    }
}
