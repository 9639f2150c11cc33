package reedmux.control.registry;

import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.MalformedMessageException;
import reedmux.common.net.SocketAddresses;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.configuration.ItemJson;
import reedmux.control.instances.CheckerIncarnation;

/** A call from outside, decoded; what it asks for is done elsewhere. */
public sealed interface ControlCall {
    String HEARTBEAT_PATH = "/v1/Instances.Heartbeat/";
    String CORE_LEAVE_PATH = "/v1/Core.Leave/";
    String INSTANCE_LEAVE_PATH = "/v1/Instances.Leave/";
    String SHOW_PATH = "/v1/Show.";
    /** Entries of one answer, where nothing else is asked for, and at most. */
    int DEFAULT_PAGE_SIZE = 200;

    int MAX_PAGE_SIZE = 1000;
    int STATUS_BAD_REQUEST = 400;
    /** Of names, and of a whole heartbeat: they are told to all, and kept. */
    int MAX_NAME_CHARS = 255;

    int MAX_HEARTBEAT_CHARS = 16 * 1024;
    long MAX_CAPACITY = 1_000_000;
    long MAX_SEQUENCE = 1L << 53;
    long MAX_SLOW_START_MILLIS = 86_400_000;

    /** A checker tells of itself. */
    record HeartbeatCall(CheckerIncarnation incarnation) implements ControlCall {}

    /** A checker ends. */
    record InstanceLeaveCall(String id) implements ControlCall {}

    /** The operator orders a machine out of the core. */
    record CoreLeaveCall(String node) implements ControlCall {}

    /** The operator asks what this machine knows; {@code service}: of which alone, or empty. */
    record ShowCall(String subject, String service, String afterName, int limit) implements ControlCall {}

    /** The operator changes items. */
    record ConfigAdjustCall(String body) implements ControlCall {}

    /** The operator asks for all items. */
    record ConfigReadCall() implements ControlCall {}

    static ControlCall parse(Http1Head head, byte[] body) throws MalformedMessageException {
        String path = head.path();
        boolean post = head.method().equals("POST");
        if (path.equals("/v1/Config.Read") && head.method().equals("GET")) {
            return new ConfigReadCall();
        } else if (path.equals("/v1/Config.Adjust") && post) {
            return new ConfigAdjustCall(decodeUtf8(body, "Config.Adjust"));
        } else if (path.startsWith(CORE_LEAVE_PATH) && post && path.length() > CORE_LEAVE_PATH.length()) {
            return new CoreLeaveCall(path.substring(CORE_LEAVE_PATH.length()));
        } else if (path.startsWith(INSTANCE_LEAVE_PATH) && post) {
            return new InstanceLeaveCall(instanceId(path, INSTANCE_LEAVE_PATH));
        } else if (path.startsWith(HEARTBEAT_PATH) && post) {
            String id = instanceId(path, HEARTBEAT_PATH);
            try {
                return parseHeartbeat(id, decodeUtf8(body, "Instances.Heartbeat of " + id));
            } catch (InvalidConfigurationException e) {
                throw new MalformedMessageException(
                        STATUS_BAD_REQUEST, "Instances.Heartbeat of " + id + ": " + e.getMessage());
            }
        }
        if (path.startsWith(SHOW_PATH) && head.method().equals("GET")) {
            return parseShow(path.substring(SHOW_PATH.length()), head.target());
        }
        throw new MalformedMessageException(404, "there is no such call");
    }

    private static ControlCall parseShow(String what, String target) throws MalformedMessageException {
        if (!List.of("Members", "Core", "Checkers", "Items", "Duties").contains(what)) {
            throw new MalformedMessageException(
                    404, "there is no Show." + what + ", but Members, Core, Checkers, Items and Duties");
        }
        String service = "";
        String after = "";
        int limit = DEFAULT_PAGE_SIZE;
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
                throw new MalformedMessageException(400, "Show." + what + ": " + name + " cannot be read");
            }
            if (name.equals("after")) {
                after = value;
            } else if (name.equals("service") && what.equals("Checkers")) {
                service = value;
            } else if (name.equals("limit")) {
                if (!value.matches("[0-9]{1,4}")
                        || Integer.parseInt(value) < 1
                        || Integer.parseInt(value) > MAX_PAGE_SIZE) {
                    throw new MalformedMessageException(
                            400, "Show." + what + ": limit is no number from 1 to " + MAX_PAGE_SIZE);
                }
                limit = Integer.parseInt(value);
            } else {
                throw new MalformedMessageException(400, "Show." + what + " has no parameter " + name);
            }
        }
        return new ShowCall(what, service, after, limit);
    }

    /** The id of a checker, which ends the path. */
    private static String instanceId(String path, String call) throws MalformedMessageException {
        String id = path.substring(call.length());
        if (id.isEmpty() || id.length() > MAX_NAME_CHARS) {
            throw new MalformedMessageException(
                    STATUS_BAD_REQUEST, call + ": the id " + (id.isEmpty() ? "is missing" : "is too long"));
        }
        return id;
    }

    /** What is not UTF-8 would be read as something else than was sent. */
    private static String decodeUtf8(byte[] body, String call) throws MalformedMessageException {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedMessageException(
                    STATUS_BAD_REQUEST, call + ": byte " + bytes.position() + " of the body is not UTF-8");
        }
    }

    private static ControlCall parseHeartbeat(String id, String body) throws InvalidConfigurationException {
        if (body.length() > MAX_HEARTBEAT_CHARS) {
            throw new InvalidConfigurationException("the body is longer than " + MAX_HEARTBEAT_CHARS);
        }
        Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(body), "the body");
        String address = requiredName(map, "address");
        if (SocketAddresses.parse(address) == null) {
            throw new InvalidConfigurationException("address is no address:port");
        }
        String phase = requiredName(map, "phase");
        if (!phase.equals("ready") && !phase.equals("draining")) {
            throw new InvalidConfigurationException("phase is neither ready nor draining");
        }
        return new HeartbeatCall(new CheckerIncarnation(
                id,
                requiredName(map, "plant"),
                address,
                requiredName(map, "zone"),
                (int) Math.max(1, optionalNumber(map, "capacity", 1, MAX_CAPACITY)),
                phase.equals("draining") ? CheckerIncarnation.DRAINING : CheckerIncarnation.READY,
                optionalNumber(map, "seq", 0, MAX_SEQUENCE),
                optionalNumber(map, "coldLeftMs", 0, MAX_SLOW_START_MILLIS),
                false));
    }

    private static String requiredName(Map<String, Object> map, String place) throws InvalidConfigurationException {
        String text = ItemJson.requireString(map.get(place), place);
        if (text.length() > MAX_NAME_CHARS) {
            throw new InvalidConfigurationException(place + " is longer than " + MAX_NAME_CHARS);
        }
        return text;
    }

    private static long optionalNumber(Map<String, Object> map, String place, long otherwise, long most)
            throws InvalidConfigurationException {
        double number = ItemJson.numberOrDefault(map.get(place), otherwise, place);
        if (number > most) {
            throw new InvalidConfigurationException(place + " is over " + most);
        }
        return (long) number;
    }
}
