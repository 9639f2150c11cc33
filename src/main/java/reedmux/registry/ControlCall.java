package reedmux.registry;

import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import reedmux.config.Addresses;
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
    int BAD = 400;
    /** Of names, and of a whole heartbeat: they are told to all, and kept. */
    int LONGEST = 255;

    int LONGEST_BEAT = 16 * 1024;
    long MOST_CAPACITY = 1_000_000;
    long MOST_SEQ = 1L << 53;
    long MOST_COLD = 86_400_000;

    /** A checker tells of itself. */
    record Heartbeat(Incarnation life) implements ControlCall {}

    /** A checker ends. */
    record Leave(String id) implements ControlCall {}

    /** The operator orders a machine out of the core. */
    record CoreLeave(String node) implements ControlCall {}

    /** The operator asks what this machine knows; {@code service}: of which alone, or empty. */
    record Show(String what, String service, String after, int limit) implements ControlCall {}

    /** The operator changes items. */
    record Adjust(String body) implements ControlCall {}

    /** The operator asks for all items. */
    record Read() implements ControlCall {}

    static ControlCall of(Head head, byte[] body) throws BadMessage {
        String path = head.path();
        boolean post = head.method().equals("POST");
        if (path.equals("/v1/Config.Read") && head.method().equals("GET")) {
            return new Read();
        } else if (path.equals("/v1/Config.Adjust") && post) {
            return new Adjust(text(body, "Config.Adjust"));
        } else if (path.startsWith(CORE_LEAVE) && post && path.length() > CORE_LEAVE.length()) {
            return new CoreLeave(path.substring(CORE_LEAVE.length()));
        } else if (path.startsWith(LEAVE) && post) {
            return new Leave(id(path, LEAVE));
        } else if (path.startsWith(HEARTBEAT) && post) {
            String id = id(path, HEARTBEAT);
            try {
                return heartbeat(id, text(body, "Instances.Heartbeat of " + id));
            } catch (Invalid e) {
                throw new BadMessage(BAD, "Instances.Heartbeat of " + id + ": " + e.getMessage());
            }
        }
        if (path.startsWith(SHOW) && head.method().equals("GET")) {
            return show(path.substring(SHOW.length()), head.target());
        }
        throw new BadMessage(404, "there is no such call");
    }

    private static ControlCall show(String what, String target) throws BadMessage {
        if (!List.of("Members", "Core", "Checkers", "Items", "Duties").contains(what)) {
            throw new BadMessage(404, "there is no Show." + what + ", but Members, Core, Checkers, Items and Duties");
        }
        String service = "";
        String after = "";
        int limit = PAGE;
        int query = target.indexOf('?');
        String[] parameters = query < 0 || query + 1 == target.length()
                ? new String[0]
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
                if (!value.matches("[0-9]{1,4}") || Integer.parseInt(value) < 1 || Integer.parseInt(value) > MOST) {
                    throw new BadMessage(400, "Show." + what + ": limit is no number from 1 to " + MOST);
                }
                limit = Integer.parseInt(value);
            } else {
                throw new BadMessage(400, "Show." + what + " has no parameter " + name);
            }
        }
        return new Show(what, service, after, limit);
    }

    /** The id of a checker, which ends the path. */
    private static String id(String path, String call) throws BadMessage {
        String id = path.substring(call.length());
        if (id.isEmpty() || id.length() > LONGEST) {
            throw new BadMessage(BAD, call + ": the id " + (id.isEmpty() ? "is missing" : "is too long"));
        }
        return id;
    }

    /** What is not UTF-8 would be read as something else than was sent. */
    private static String text(byte[] body, String call) throws BadMessage {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            throw new BadMessage(BAD, call + ": byte " + bytes.position() + " of the body is not UTF-8");
        }
    }

    private static ControlCall heartbeat(String id, String body) throws Invalid {
        if (body.length() > LONGEST_BEAT) {
            throw new Invalid("the body is longer than " + LONGEST_BEAT);
        }
        Map<String, Object> map = Json.map(Json.read(body), "the body");
        String address = name(map, "address");
        if (Addresses.parse(address) == null) {
            throw new Invalid("address is no address:port");
        }
        String phase = name(map, "phase");
        if (!phase.equals("ready") && !phase.equals("draining")) {
            throw new Invalid("phase is neither ready nor draining");
        }
        return new Heartbeat(new Incarnation(
                id,
                name(map, "plant"),
                address,
                name(map, "zone"),
                (int) Math.max(1, number(map, "capacity", 1, MOST_CAPACITY)),
                phase.equals("draining") ? Incarnation.DRAINING : Incarnation.READY,
                number(map, "seq", 0, MOST_SEQ),
                number(map, "coldLeftMs", 0, MOST_COLD),
                false));
    }

    private static String name(Map<String, Object> map, String place) throws Invalid {
        String text = Json.text(map.get(place), place);
        if (text.length() > LONGEST) {
            throw new Invalid(place + " is longer than " + LONGEST);
        }
        return text;
    }

    private static long number(Map<String, Object> map, String place, long otherwise, long most) throws Invalid {
        double number = Json.number(map.get(place), otherwise, place);
        if (number > most) {
            throw new Invalid(place + " is over " + most);
        }
        return (long) number;
    }
}
