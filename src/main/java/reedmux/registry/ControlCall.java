package reedmux.registry;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import reedmux.fleet.Incarnation;
import reedmux.item.Invalid;
import reedmux.item.Json;
import reedmux.message.BadMessage;
import reedmux.message.Head;

/** A call from outside, decoded; what it asks for is done elsewhere. */
sealed interface ControlCall {
    String HEARTBEAT = "/v1/Instances.Heartbeat/";
    String CORE_LEAVE = "/v1/Core.Leave/";
    String LEAVE = "/v1/Instances.Leave/";
    String SHOW = "/v1/Show.";
    /** Entries of one answer, where nothing else is asked for, and at most. */
    int PAGE = 200;
    int MOST = 1000;

    /** A checker tells of itself. */
    record Heartbeat(Incarnation life) implements ControlCall { }

    /** A checker ends. */
    record Leave(String id) implements ControlCall { }

    /** The operator orders a machine out of the core. */
    record CoreLeave(String node) implements ControlCall { }

    /** The operator asks what this machine knows; {@code service}: of which alone, or empty. */
    record Show(String what, String service, String after, int limit) implements ControlCall { }

    /** The operator changes items. */
    record Adjust(String body) implements ControlCall { }

    /** The operator asks for all items. */
    record Read() implements ControlCall { }

    static ControlCall of(Head head, byte[] body) throws BadMessage {
        String path = head.path();
        boolean post = head.method().equals("POST");
        if (path.equals("/v1/Config.Read") && head.method().equals("GET")) {
            return new Read();
        } else if (path.equals("/v1/Config.Adjust") && post) {
            return new Adjust(new String(body, StandardCharsets.UTF_8));
        } else if (path.startsWith(CORE_LEAVE) && post && path.length() > CORE_LEAVE.length()) {
            return new CoreLeave(path.substring(CORE_LEAVE.length()));
        } else if (path.startsWith(LEAVE) && post) {
            return new Leave(path.substring(LEAVE.length()));
        } else if (path.startsWith(HEARTBEAT) && post) {
            try {
                return heartbeat(path.substring(HEARTBEAT.length()), new String(body,
                        StandardCharsets.UTF_8));
            } catch (Invalid e) {
                throw new BadMessage(400, e.getMessage());
            }
        }
        if (path.startsWith(SHOW) && head.method().equals("GET")) {
            return show(path.substring(SHOW.length()), head.target());
        }
        throw new BadMessage(404, "there is no such call");
    }

    private static ControlCall show(String what, String target) throws BadMessage {
        if (!List.of("Members", "Core", "Checkers", "Items", "Duties").contains(what)) {
            throw new BadMessage(404, "there is no Show." + what
                    + ", but Members, Core, Checkers, Items and Duties");
        }
        String service = "";
        String after = "";
        int limit = PAGE;
        int query = target.indexOf('?');
        String[] parameters = query < 0 || query + 1 == target.length() ? new String[0]
                : target.substring(query + 1).split("&");
        for (String parameter : parameters) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            String value;
            try {
                value = URLDecoder.decode(parameter.substring(equals + 1), StandardCharsets.UTF_8);
            } catch (IllegalArgumentException e) {
                throw new BadMessage(400, "Show." + what + ": " + name + " cannot be read");
            }
            if (name.equals("after")) {
                after = value;
            } else if (name.equals("service") && what.equals("Checkers")) {
                service = value;
            } else if (name.equals("limit")) {
                if (!value.matches("[0-9]{1,4}") || Integer.parseInt(value) < 1
                        || Integer.parseInt(value) > MOST) {
                    throw new BadMessage(400, "Show." + what + ": limit is no number from 1 to " + MOST);
                }
                limit = Integer.parseInt(value);
            } else {
                throw new BadMessage(400, "Show." + what + " has no parameter " + name);
            }
        }
        return new Show(what, service, after, limit);
    }

    private static ControlCall heartbeat(String id, String body) throws Invalid, BadMessage {
        Map<String, Object> map = Json.map(Json.read(body), "the call");
        String address = Json.text(map.get("address"), "address");
        if (id.isEmpty() || reedmux.config.Addresses.parse(address) == null) {
            throw new BadMessage(400, id.isEmpty() ? "the id is missing" : "address is no address:port");
        }
        String phase = Json.text(map.get("phase"), "phase");
        return new Heartbeat(new Incarnation(id, Json.text(map.get("plant"), "plant"), address,
                Json.text(map.get("zone"), "zone"),
                (int) Math.max(1, Json.number(map.get("capacity"), 1, "capacity")),
                phase.equals("draining") ? Incarnation.DRAINING : Incarnation.READY,
                (long) Json.number(map.get("seq"), 0, "seq"),
                (long) Json.number(map.get("coldLeftMs"), 0, "coldLeftMs"), false));
    }
}
