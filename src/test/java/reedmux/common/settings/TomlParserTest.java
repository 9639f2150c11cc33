package reedmux.common.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Every type, escape and way to write a table of TOML, and the errors of texts that are none. */
public class TomlParserTest {
    private static final String REQUIRED = """
            node = "edge-1"
            ip = "10.1.0.21"
            zone = "hall-a"
            portRange = [7360, 7375]
            seeds = ["10.1.0.24:8683"]
            """;

    /** Fields that no program knows, in every form that TOML has. */
    @DataProvider
    public Object[][] unknownFields() {
        return rows(
                "a = 'literal \\n'",
                "a = '''\nx ''y''\nz'''",
                "a = \"\"\"\nx \\   \n\n   y \"\"z\"\"\"\"\"",
                "a = \"\\b\\t\\n\\f\\r\\e\\\"\\\\\\x41\\u00e9\\U0001F600\"",
                "a = {}",
                "a = { row = 3, rack = \"b\", deep = { x.y = [1], 'q' = {} } }",
                "a = {\n x = 1, # comment\n y = 2,\n}",
                "a = [1, 'x', [2.5, { b = true }], ]",
                "a = [ # comment\n 1, # comment\n\n 2\n]",
                "[[a]]\nx = 1\n[a.b]\ny = 2\n[[a]]\n[[a.c]]\n[[a.c]]\nz = 3",
                "a = 1979-05-27T07:32:00Z",
                "a = 1979-05-27 07:32:00.999999999999-07:00",
                "a = 1979-05-27t07:32:60z",
                "a = 1979-05-27T07:32",
                "a = 2024-02-29",
                "a = 07:32:00.5",
                "a = 0xDEAD_beef",
                "a = 0o755",
                "a = 0b1101_0",
                "a = inf\nb = -inf\nc = +nan",
                "a = +1_000",
                "a = 9223372036854775807\nb = -9223372036854775808\nc = 0x7fffffffffffffff",
                "a = 6.626e-34\nb = -0.0\nc = 1E+06\nd = 9_224.4e1_0",
                "'literal key' = 1\n\"quoted\\tkey\" = 2\n\"\" = 3\n1234 = 4\n-_- = 5",
                "a.b.c = 1\na.b.d = 2\na . \"x.y\" . 'z' = 3",
                "[a.b.c]\nx = 1\n[a.b]\ny = 2\n[a]\nz = 3",
                "[fruit]\napple.taste.sweet = true\n[fruit.apple.texture]\nsmooth = true",
                "[ a . \"b\" . 'c' ] # comment\nd = 1",
                "[empty]",
                "\"sockets.front\" = 3\n\"envelope.retryRatio\" = 'no number'",
                "a = 1\r\nb = '''\r\nx\r\n'''\r\n",
                "a = \"é \uD83D\uDE00 \uFFFF\"\t# comment with é");
    }

    /** review/7: a proxy did not start when its settings file had gained a field of a type that was not read. */
    @Test(dataProvider = "unknownFields")
    public void unknownFieldOfAnyTypeIsIgnored(String field) throws ProcessSettingsException {
        ProcessSettings before =
                ProcessSettings.parse("f", field.startsWith("[") ? REQUIRED + field : field + '\n' + REQUIRED);
        assertEquals(before.node(), "edge-1");
        ProcessSettings after = ProcessSettings.parse("f", REQUIRED + field);
        assertEquals(after.seeds().size(), 1);
        assertEquals(after.number(SettingKeys.RETRY_RATIO, 0.5), 0.5);
    }

    @Test
    public void knownSettingsMayBeWrittenInAnyForm() throws ProcessSettingsException {
        ProcessSettings settings = ProcessSettings.parse("f", """
                'node' = 'edge-1'
                ip = '''10.1.0.21'''
                zone = "\\u0068all-a"
                portRange = [0x1cc0, 7_375]
                seeds = ["10.1.0.24:8683", ]
                sockets = { front = "10.1.0.21:8689" }
                envelope.retryRatio = 2e-1
                envelope.graceS = 1.5
                saturation.fdLimit = 9223372036854775807
                """);
        assertEquals(settings.node(), "edge-1");
        assertEquals(settings.ip(), "10.1.0.21");
        assertEquals(settings.zone(), "hall-a");
        assertEquals(settings.storePort(), 7360);
        assertEquals(settings.socketAddress(SettingKeys.FRONT_SOCKET).getPort(), 8689);
        assertEquals(settings.number(SettingKeys.RETRY_RATIO, 0), 0.2);
        assertEquals(settings.durationMicrosOfSeconds(SettingKeys.SHUTDOWN_GRACE_SECONDS, 6), 1_500_000);
        assertEquals((int) settings.number(SettingKeys.DESCRIPTOR_LIMIT, 0), Integer.MAX_VALUE);
    }

    @Test
    public void byteOrderMarkIsSkipped() throws ProcessSettingsException {
        assertEquals(ProcessSettings.parse("f", '\uFEFF' + REQUIRED).node(), "edge-1");
    }

    @Test
    public void stringsKeepTheirContent() throws ProcessSettingsException {
        assertEquals(text("a = \"\"\"\nx \\ \n\n  y\n\"\"z\"\"\"\"\""), "x y\n\"\"z\"\"");
        assertEquals(text("a = '''\r\nx\r\ny\\'''"), "x\ny\\");
        assertEquals(
                text("a = \"\\b\\t\\n\\f\\r\\e\\\"\\\\\\x41\\u00e9\\U0001F600\""),
                "\b\t\n\f\r\u001B\"\\A\u00e9\uD83D\uDE00");
        assertEquals(text("a = 'C:\\x'"), "C:\\x");
        assertEquals(text("a = ''''''"), "");
    }

    private static String text(String line) throws ProcessSettingsException {
        return TomlParser.parse("f", line).optionalText("a");
    }

    /** Each row: a text that is not TOML, the line of the error, and its key or null. */
    @DataProvider
    public Object[][] invalidTexts() {
        return new Object[][] {
            {"x = 1\na", 2, "a"},
            {"a =", 1, "a"},
            {"= 1", 1, null},
            {"a = 1 b = 2", 1, "a"},
            {"a = 1\n\na = 2", 3, "a"},
            {"x = 1\na = \"y", 2, "a"},
            {"a = 'x\ny'", 1, "a"},
            {"a = \"\"\"x\n\n", 1, "a"},
            {"x = 1\na = [1,\n2", 2, "a"},
            {"a = [1 2]", 1, "a"},
            {"a = [1,,2]", 1, "a"},
            {"a = { x = 1", 1, "a"},
            {"a = { x = 1, x = 2 }", 1, "x"},
            {"\n[a", 2, null},
            {"[]", 1, null},
            {"[a]]", 1, null},
            {"[[a]", 1, null},
            {"[a] b = 1", 1, null},
            {"[a]\n[a]", 2, "a"},
            {"a = 1\n[a]", 2, "a"},
            {"a = 1\n[a.b]", 2, "a.b"},
            {"[[a]]\n[a]", 2, "a"},
            {"a = [1]\n[[a]]", 2, "a"},
            {"[a]\n[[a]]", 2, "a"},
            {"a.b = 1\na = 2", 2, "a"},
            {"a = 1\na.b = 2", 2, "a.b"},
            {"a = { b = 1 }\na.c = 2", 2, "a.c"},
            {"a = { b = 1 }\n[a.c]", 2, "a.c"},
            {"[a.b]\nc = 1\n[a]\nb.d = 1", 4, "b.d"},
            {"[a.b.c]\nz = 1\n[a]\nb.x = 1", 4, "b.x"},
            {"[a]\nb.c = 1\n[a.b]", 3, "a.b"},
            {"a = 1 # \u0001", 1, null},
            {"é = 1", 1, null}
        };
    }

    /** Each row: a value that is not TOML, on the third line. */
    @DataProvider
    public Object[][] invalidScalars() {
        return rows(
                "a = 012",
                "a = 1__0",
                "a = _1",
                "a = 1.",
                "a = .1",
                "a = 1.e1",
                "a = 1e",
                "a = 0x_1",
                "a = +0x1",
                "a = 0o8",
                "a = --1",
                "a = 1f",
                "a = 9223372036854775808",
                "a = 0x8000000000000000",
                "a = True",
                "a = maybe",
                "a = 2021-02-29",
                "a = 2021-13-01",
                "a = 24:00:00",
                "a = 1979-05-27T",
                "a = 1979-05-27T07:32:00+25:00",
                "a = \"\\q\"",
                "a = \"\\uD800\"",
                "a = \"\\U00110000\"",
                "a = \"\\u12\"",
                "a = \"\u0001\"",
                "a = 1\rb = 2",
                "a = " + "[".repeat(100_000));
    }

    @Test(dataProvider = "invalidTexts")
    public void invalidTextIsReportedWithFileLineAndKey(String text, int line, String key) {
        ProcessSettingsException error =
                expectThrows(ProcessSettingsException.class, () -> TomlParser.parse("settings.toml", text));
        assertEquals(error.line(), line, error.getMessage());
        assertEquals(error.key(), key, error.getMessage());
        assertTrue(error.getMessage().startsWith("settings.toml:" + line + ": "), error.getMessage());
    }

    @Test(dataProvider = "invalidScalars")
    public void invalidScalarIsReportedWithLineAndKey(String entry) {
        invalidTextIsReportedWithFileLineAndKey("x = 1\n\n" + entry, 3, "a");
    }

    /** Each row: a line with a wrong value, the key that is read, and a part of the message. */
    @DataProvider
    public Object[][] wrongValues() {
        return new Object[][] {
            {"envelope = 3", SettingKeys.RETRY_RATIO, "envelope is not a table"},
            {"[[envelope]]\nretryRatio = 1", SettingKeys.RETRY_RATIO, "envelope is not a table"},
            {"envelope.retryRatio = nan", SettingKeys.RETRY_RATIO, "not a number"},
            {"envelope.retryRatio = inf", SettingKeys.RETRY_RATIO, "not a number"},
            {"envelope.retryRatio = -1", SettingKeys.RETRY_RATIO, "not a number"},
            {"envelope.retryRatio = 2021-01-01", SettingKeys.RETRY_RATIO, "not a number"},
            {"envelope.retryRatio = { x = 1 }", SettingKeys.RETRY_RATIO, "not a number"},
            {"envelope.graceS = 9223372036854775807", SettingKeys.SHUTDOWN_GRACE_SECONDS, "is above"},
            {"periodMs = 1e300", SettingKeys.HEARTBEAT_INTERVAL_MILLIS, "is above"},
            {"tolerance.machines = 1.5", SettingKeys.TOLERATED_MACHINES, "not a whole number"}
        };
    }

    @Test(dataProvider = "wrongValues")
    public void wrongValueIsReportedWithLineAndKey(String line, String key, String problem) {
        ProcessSettingsException error = expectThrows(ProcessSettingsException.class, () -> {
            ProcessSettings settings = ProcessSettings.parse("settings.toml", REQUIRED + line);
            settings.number(SettingKeys.RETRY_RATIO, 0);
            settings.durationMicrosOfSeconds(SettingKeys.SHUTDOWN_GRACE_SECONDS, 0);
            settings.durationMicros(SettingKeys.HEARTBEAT_INTERVAL_MILLIS, 0);
            settings.wholeNumber(SettingKeys.TOLERATED_MACHINES, 0);
        });
        assertEquals(error.key(), key);
        assertEquals(error.line() >= 6, true, error.getMessage());
        assertTrue(error.getMessage().contains(problem), error.getMessage());
    }

    @Test
    public void quotedKeyWithDotsIsNoKeyOfATable() throws ProcessSettingsException {
        assertNull(TomlParser.parse("f", "\"a.b\" = 'x'").optionalText("a.b"));
        assertEquals(TomlParser.parse("f", "a.b = 'x'").optionalText("a.b"), "x");
    }

    private static Object[][] rows(String... texts) {
        return List.of(texts).stream().map(text -> new Object[] {text}).toArray(Object[][]::new);
    }
}
