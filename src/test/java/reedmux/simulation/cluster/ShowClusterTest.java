package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.configuration.ItemJson;
import reedmux.simulation.harness.OneShotHttpCall;

/** What operators are shown, in virtual time: with a majority, and at a machine that is cut off. */
public class ShowClusterTest {
    private static final long SECOND = 1_000_000;
    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;

    @BeforeMethod
    public void start() {
        ServingDeployment serving = new ServingDeployment(8, line -> {});
        simulation = serving.simulation();
        deployment = serving.deployment();
        outside = serving.outside();
    }

    private String ask(int core, String path) {
        String[] told = {"0"};
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.controlAddresses().get(core),
                        OneShotHttpCall.request("GET", path, "c", ""),
                        3 * SECOND,
                        (status, head, text) -> told[0] = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        simulation.runFor(SECOND);
        return told[0];
    }

    private Map<String, Object> show(int core, String what) throws InvalidConfigurationException {
        String told = ask(core, "/v1/Show." + what);
        assertTrue(told.startsWith("200 "), told);
        return ItemJson.requireObject(ItemJson.parse(told.substring(4)), "the answer");
    }

    private static List<Map<String, Object>> entries(Map<String, Object> told) throws InvalidConfigurationException {
        List<Map<String, Object>> all = new ArrayList<>();
        for (Object entry : ItemJson.listOrEmpty(told.get("entries"), "entries")) {
            all.add(ItemJson.requireObject(entry, "entry"));
        }
        return all;
    }

    private static long whole(Map<String, Object> told, String key) throws InvalidConfigurationException {
        return ItemJson.requireInteger(told.get(key), key);
    }

    /** Cuts the first core machine off from the other two. */
    private void cut() {
        SimulatedMachine near = deployment.coreNodes().get(0).machine();
        for (int i = 1; i < 3; i++) {
            simulation.partition(near, deployment.coreNodes().get(i).machine());
            simulation.partition(deployment.coreNodes().get(i).machine(), near);
        }
    }

    @Test
    public void anyControlMachineTellsOfAllWithAgeAndEpoch() throws InvalidConfigurationException {
        for (int core = 0; core < 3; core++) {
            for (String what : List.of("Members", "Core", "Checkers", "Items", "Duties")) {
                Map<String, Object> told = show(core, what);
                assertEquals(told.get("majority"), true, what);
                assertEquals(whole(told, "epoch"), 0, what);
                assertTrue(whole(told, "ageMs") < 1_000, what + " is " + told.get("ageMs") + " old");
            }
            assertEquals(entries(show(core, "Members")).size(), 2);
            List<Map<String, Object>> members = entries(show(core, "Core"));
            assertEquals(members.size(), 3);
            for (Map<String, Object> member : members) {
                assertEquals(member.get("linked"), true);
            }
            assertEquals(
                    entries(show(core, "Duties")).get(0).get("holder"),
                    members.get(0).get("ip"));
        }
    }

    @Test
    public void longAnswersComeInPages() throws InvalidConfigurationException {
        Map<String, Object> first = show(1, "Checkers?limit=3");
        assertEquals(entries(first).size(), 3);
        assertEquals(whole(first, "total"), 4);
        Map<String, Object> second = show(1, "Checkers?limit=3&after=" + first.get("next"));
        assertEquals(entries(second).size(), 1);
        assertEquals(second.get("next"), null);
        assertEquals(
                entries(show(1, "Checkers?service=" + ConfigurationGenerator.SERVICES.get(0)))
                        .size(),
                2);
        TreeSet<String> keys = new TreeSet<>();
        Object after = "";
        int pages = 0;
        while (after != null) {
            Map<String, Object> page = show(2, "Items?limit=2&after=" + after);
            for (Map<String, Object> item : entries(page)) {
                assertTrue(keys.add(item.get("kind") + "/" + item.get("name")));
                assertEquals(whole(item, "revision") > 0, true);
            }
            after = page.get("next");
            pages++;
        }
        Map<String, Object> all = show(2, "Items");
        assertEquals(keys.size(), whole(all, "total"));
        assertEquals(pages, (keys.size() + 1) / 2);
    }

    @Test
    public void aMachineThatIsCutOffTellsWhatItKnowsAndSaysSo() throws InvalidConfigurationException {
        assertEquals(show(0, "Items").get("majority"), true);
        int items = entries(show(0, "Items")).size();
        cut();
        simulation.runFor(10 * SECOND);
        for (String what : List.of("Members", "Core", "Checkers", "Items", "Duties")) {
            Map<String, Object> told = show(0, what);
            assertEquals(told.get("majority"), false, what);
            assertNotNull(told.get("store"), what);
            boolean ofStore = !what.equals("Members") && !what.equals("Checkers");
            assertTrue(ofStore ? whole(told, "ageMs") > 8_000 : told.get("ageMs") == null, what + told);
            assertEquals(show(1, what).get("majority"), true, what);
        }
        assertEquals(entries(show(0, "Items")).size(), items);
        assertEquals(entries(show(0, "Checkers")).size(), 4);
        List<Map<String, Object>> core = entries(show(0, "Core"));
        assertEquals(core.get(0).get("linked"), true);
        assertEquals(core.get(1).get("linked"), false);
        Map<String, Object> after = show(0, "Items");
        assertTrue(whole(after, "ageMs") > whole(show(1, "Items"), "ageMs") + 8_000);
    }

    /** While the links still stand after a cut, nothing but a round tells that there is no majority. */
    @Test
    public void aCutIsToldBeforeTheLinksAreGivenUp() throws InvalidConfigurationException {
        cut();
        Map<String, Object> told = show(0, "Items");
        assertEquals(entries(show(1, "Core")).size(), 3);
        assertEquals(told.get("majority"), false);
        assertFalse(entries(told).isEmpty());
    }

    @Test
    public void whatCannotBeReadIsToldWithItsName() {
        assertEquals(ask(0, "/v1/Show.Items?limit=0"), "400 Show.Items: limit is no number from 1 to 1000\n");
        assertEquals(ask(0, "/v1/Show.Items?limit=1001"), "400 Show.Items: limit is no number from 1 to 1000\n");
        assertEquals(ask(0, "/v1/Show.Items?service=a"), "400 Show.Items has no parameter service\n");
        assertEquals(ask(0, "/v1/Show.Items?after=%zz"), "400 Show.Items: after cannot be read\n");
        assertTrue(ask(0, "/v1/Show.Lives").startsWith("404 there is no Show.Lives, but Members"));
    }
}
