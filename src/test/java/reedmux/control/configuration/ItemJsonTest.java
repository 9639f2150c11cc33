package reedmux.control.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Documents with fields of every shape, and numbers that no setting can have. */
public class ItemJsonTest {

    @DataProvider
    public Object[][] unknownValues() {
        return new Object[][] {
            {"null"},
            {"[null,true,-0.0,{\"b\":[]}]"},
            {"9223372036854775807"},
            {"123456789012345678901234567890"},
            {"1e999999999"},
            {"-1.5E-400"},
            {"\"\\u00e9\\ud83d\\ude00\\n\\/\""},
            {"[".repeat(150) + "]".repeat(150)},
            {"{\"x\":".repeat(150) + "1" + "}".repeat(150)}
        };
    }

    /** Guards against a change or heartbeat that is refused for a field that nobody asks for (as in review/7). */
    @Test(dataProvider = "unknownValues")
    public void valueOfAnyShapeIsReadAndWritten(String value) throws InvalidConfigurationException {
        Map<String, Object> document = ItemJson.requireObject(ItemJson.parse("{\"new\":" + value + ",\"seq\":7}"), "d");
        assertEquals(ItemJson.requireInteger(document.get("seq"), "seq"), 7);
        assertEquals(ItemJson.parse(ItemJson.write(document)), document);
    }

    @Test
    public void nestingThatCouldOverflowTheStackIsRefused() {
        expectThrows(InvalidConfigurationException.class, () -> ItemJson.parse("[".repeat(900) + "]".repeat(900)));
    }

    @Test
    public void numberBeyondTheRangeIsRefusedWithItsKey() {
        InvalidConfigurationException error = expectThrows(
                InvalidConfigurationException.class,
                () -> ItemJson.numberOrDefault(ItemJson.parse("1e999999999"), 1, "flowPerS"));
        assertTrue(error.getMessage().contains("flowPerS is too large"), error.getMessage());
    }
}
