package reedmux.common.settings;

import static org.testng.Assert.assertEquals;

import io.github.wasabithumb.jtoml.JToml;
import io.github.wasabithumb.jtoml.except.TomlException;
import java.util.Random;
import org.testng.annotations.Test;

/** Compares which texts our reader and a TOML library take, on drawn texts that are nearly TOML. */
public class TomlComparisonTest {
    private static final long SEED = 72;
    private static final int DOCUMENTS = 20_000;
    private static final int MAX_PIECES = 12;

    /** Pieces of which a document is put together; most sequences of them are close to TOML. */
    private static final String[] PIECES = {
        "a",
        "b",
        "a.b",
        "\"k\"",
        "'k'",
        " = ",
        " = ",
        " = ",
        "\n",
        "\n",
        "\n",
        "\r\n",
        " ",
        "\t",
        "# c\n",
        "[",
        "]",
        "[[",
        "]]",
        "{",
        "}",
        ",",
        "1",
        "-0",
        "0",
        "07",
        "1_0",
        "1__0",
        "0x1F",
        "0b12",
        "1.5",
        "1e3",
        "inf",
        "-nan",
        "true",
        "tru",
        "9223372036854775808",
        "1979-05-27",
        "07:32:00",
        "1979-05-27T07:32:00Z",
        "1979-02-30",
        "\"x\"",
        "\"\\u0041\"",
        "\"\\q\"",
        "\"\"\"",
        "'x'",
        "'''",
        "\\",
        "[a]\n",
        "[a.b]\n",
        "[[a]]\n",
        "a = 1\n",
        "b = {a = 1}\n",
        "a.b = 2\n",
        "b = [1, 2]\n"
    };

    @Test
    public void drawnTextIsTakenByBothReadersOrByNone() {
        Random random = new Random(SEED);
        int accepted = 0;
        for (int i = 0; i < DOCUMENTS; i++) {
            StringBuilder document = new StringBuilder();
            for (int piece = random.nextInt(MAX_PIECES); piece >= 0; piece--) {
                document.append(PIECES[random.nextInt(PIECES.length)]);
            }
            String text = document.append('\n').toString();
            boolean ours = isTakenByOurs(text);
            assertEquals(ours, isTakenByLibrary(text), "document " + i + ":\n" + text);
            accepted += ours ? 1 : 0;
        }
        System.out.println("TomlComparisonTest: both readers took " + accepted + " of " + DOCUMENTS + " texts");
    }

    private static boolean isTakenByOurs(String text) {
        try {
            TomlParser.parse("f", text);
            return true;
        } catch (ProcessSettingsException e) {
            return false;
        }
    }

    private static boolean isTakenByLibrary(String text) {
        try {
            JToml.jToml().readFromString(text);
            return true;
        } catch (TomlException e) {
            return false;
        }
    }
}
