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

/** Tests the views shown to operators in virtual time, with a majority and on an isolated machine. */
public class ShowClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
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

    private String sendRequest(int core, String path) {
        String[] response = {"0"};
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.controlAddresses().get(core),
                        OneShotHttpCall.request("GET", path, "c", ""),
                        3 * SECOND_MICROS,
                        (status, head, text) -> response[0] = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        simulation.runFor(SECOND_MICROS);
        return response[0];
    }

    private Map<String, Object> show(int core, String view) throws InvalidConfigurationException {
        String response = sendRequest(core, "/v1/Show." + view);
        assertTrue(response.startsWith("200 "), response);
        return ItemJson.requireObject(ItemJson.parse(response.substring(4)), "the answer");
    }

    private static List<Map<String, Object>> entries(Map<String, Object> response)
            throws InvalidConfigurationException {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (Object entry : ItemJson.listOrEmpty(response.get("entries"), "entries")) {
            entries.add(ItemJson.requireObject(entry, "entry"));
        }
        return entries;
    }

    private static long integer(Map<String, Object> response, String key) throws InvalidConfigurationException {
        return ItemJson.requireInteger(response.get(key), key);
    }

    /** Partitions the first core machine from the other two. */
    private void isolateFirstCoreMachine() {
        SimulatedMachine isolatedMachine = deployment.coreNodes().get(0).machine();
        for (int i = 1; i < 3; i++) {
            simulation.partition(isolatedMachine, deployment.coreNodes().get(i).machine());
            simulation.partition(deployment.coreNodes().get(i).machine(), isolatedMachine);
        }
    }

    @Test
    public void everyControlMachineShowsAllViews() throws InvalidConfigurationException {
        for (int core = 0; core < 3; core++) {
            for (String view : List.of("Members", "Core", "Checkers", "Items", "Duties")) {
                Map<String, Object> response = show(core, view);
                assertEquals(response.get("majority"), true, view);
                assertEquals(integer(response, "epoch"), 0, view);
                assertTrue(integer(response, "ageMs") < 1_000, view + " is " + response.get("ageMs") + " ms old");
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
    public void longResponsesArePaginated() throws InvalidConfigurationException {
        Map<String, Object> first = show(1, "Checkers?limit=3");
        assertEquals(entries(first).size(), 3);
        assertEquals(integer(first, "total"), 4);
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
                assertEquals(integer(item, "revision") > 0, true);
            }
            after = page.get("next");
            pages++;
        }
        Map<String, Object> all = show(2, "Items");
        assertEquals(keys.size(), integer(all, "total"));
        assertEquals(pages, (keys.size() + 1) / 2);
    }

    @Test
    public void isolatedMachineShowsLastKnownStateWithoutMajority() throws InvalidConfigurationException {
        assertEquals(show(0, "Items").get("majority"), true);
        int items = entries(show(0, "Items")).size();
        isolateFirstCoreMachine();
        simulation.runFor(10 * SECOND_MICROS);
        for (String view : List.of("Members", "Core", "Checkers", "Items", "Duties")) {
            Map<String, Object> response = show(0, view);
            assertEquals(response.get("majority"), false, view);
            assertNotNull(response.get("store"), view);
            boolean ofStore = !view.equals("Members") && !view.equals("Checkers");
            assertTrue(ofStore ? integer(response, "ageMs") > 8_000 : response.get("ageMs") == null, view + response);
            assertEquals(show(1, view).get("majority"), true, view);
        }
        assertEquals(entries(show(0, "Items")).size(), items);
        assertEquals(entries(show(0, "Checkers")).size(), 4);
        List<Map<String, Object>> core = entries(show(0, "Core"));
        assertEquals(core.get(0).get("linked"), true);
        assertEquals(core.get(1).get("linked"), false);
        Map<String, Object> after = show(0, "Items");
        assertTrue(integer(after, "ageMs") > integer(show(1, "Items"), "ageMs") + 8_000);
    }

    /** Until the links time out after a partition, only a quorum round reveals that the majority is lost. */
    @Test
    public void lossOfMajorityIsReportedBeforeLinksTimeOut() throws InvalidConfigurationException {
        isolateFirstCoreMachine();
        Map<String, Object> response = show(0, "Items");
        assertEquals(entries(show(1, "Core")).size(), 3);
        assertEquals(response.get("majority"), false);
        assertFalse(entries(response).isEmpty());
    }

    @Test
    public void invalidParametersAreRejectedByName() {
        assertEquals(sendRequest(0, "/v1/Show.Items?limit=0"), "400 Show.Items: limit is no number from 1 to 1000\n");
        assertEquals(
                sendRequest(0, "/v1/Show.Items?limit=1001"), "400 Show.Items: limit is no number from 1 to 1000\n");
        assertEquals(sendRequest(0, "/v1/Show.Items?service=a"), "400 Show.Items has no parameter service\n");
        assertEquals(sendRequest(0, "/v1/Show.Items?after=%zz"), "400 Show.Items: after cannot be read\n");
        assertTrue(sendRequest(0, "/v1/Show.Lives").startsWith("404 there is no Show.Lives, but Members"));
    }
}
