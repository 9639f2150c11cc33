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
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.registry.ControlCall.ConfigAdjustCall;
import reedmux.control.registry.ControlCall.ConfigReadCall;
import reedmux.control.registry.ControlCall.CoreLeaveCall;
import reedmux.control.registry.ControlCall.HeartbeatCall;
import reedmux.control.registry.ControlCall.InstanceLeaveCall;
import reedmux.control.registry.ControlCall.ShowCall;

/**
 * Parses HTTP requests into calls to the control API. The fields of a heartbeat are replicated to every registry and
 * proxy and stored on disk, so the parser limits their size.
 */
final class ControlCallParser {
    static final List<String> SHOW_SUBJECTS = List.of("Members", "Core", "Checkers", "Items", "Duties");
    private static final String CONFIG_READ_PATH = "/v1/Config.Read";
    private static final String CONFIG_ADJUST_PATH = "/v1/Config.Adjust";
    private static final String CORE_LEAVE_PATH = "/v1/Core.Leave/";
    private static final String INSTANCE_LEAVE_PATH = "/v1/Instances.Leave/";
    private static final String HEARTBEAT_PATH = "/v1/Instances.Heartbeat/";
    private static final String SHOW_PATH = "/v1/Show.";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int DEFAULT_PAGE_SIZE = 200;
    private static final int MAX_PAGE_SIZE = 1000;
    private static final int MAX_NAME_CHARS = 255;
    private static final int MAX_HEARTBEAT_CHARS = 16 * 1024;
    private static final long MAX_CAPACITY = 1_000_000;
    /** 2^53: JSON parsers that use doubles represent larger integers inexactly. */
    private static final long MAX_SEQUENCE = 1L << 53;

    private static final long MAX_SLOW_START_MILLIS = 86_400_000;

    private ControlCallParser() {}

    /**
     * Parses a request into a call.
     *
     * @throws MalformedMessageException if the call is unknown, or its parameters or body are invalid; the message then
     *     names the call and the invalid field
     */
    static ControlCall parse(Http1Head head, byte[] body) throws MalformedMessageException {
        String path = head.path();
        if (head.method().equals("GET")) {
            if (path.equals(CONFIG_READ_PATH)) {
                return new ConfigReadCall();
            } else if (path.startsWith(SHOW_PATH)) {
                return parseShow(path.substring(SHOW_PATH.length()), head.target());
            }
        } else if (head.method().equals("POST")) {
            if (path.equals(CONFIG_ADJUST_PATH)) {
                return new ConfigAdjustCall(decodeUtf8(body, "Config.Adjust"));
            } else if (path.startsWith(CORE_LEAVE_PATH) && path.length() > CORE_LEAVE_PATH.length()) {
                return new CoreLeaveCall(path.substring(CORE_LEAVE_PATH.length()));
            } else if (path.startsWith(INSTANCE_LEAVE_PATH)) {
                return new InstanceLeaveCall(instanceId(path, INSTANCE_LEAVE_PATH));
            } else if (path.startsWith(HEARTBEAT_PATH)) {
                return parseHeartbeat(instanceId(path, HEARTBEAT_PATH), body);
            }
        }
        throw new MalformedMessageException(STATUS_NOT_FOUND, "there is no such call");
    }

    /** Returns the instance's id, which is the rest of the path after the prefix. */
    private static String instanceId(String path, String prefix) throws MalformedMessageException {
        String id = path.substring(prefix.length());
        if (id.isEmpty() || id.length() > MAX_NAME_CHARS) {
            throw badRequest(prefix + ": the id " + (id.isEmpty() ? "is missing" : "is too long"));
        }
        return id;
    }

    /** Rejects invalid UTF-8, because replacement characters would alter the data that the caller sent. */
    private static String decodeUtf8(byte[] body, String call) throws MalformedMessageException {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            throw badRequest(call + ": byte " + bytes.position() + " of the body is not UTF-8");
        }
    }

    private static MalformedMessageException badRequest(String problem) {
        return new MalformedMessageException(STATUS_BAD_REQUEST, problem);
    }

    // ---- Show ---------------------------------------------------------------------------------------

    private static ShowCall parseShow(String subject, String target) throws MalformedMessageException {
        if (!SHOW_SUBJECTS.contains(subject)) {
            throw new MalformedMessageException(
                    STATUS_NOT_FOUND,
                    "there is no Show." + subject + ", but Members, Core, Checkers, Items and Duties");
        }
        String call = "Show." + subject;
        String service = "";
        String afterName = "";
        int limit = DEFAULT_PAGE_SIZE;
        for (String parameter : queryParameters(target)) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            String value = decodeValue(parameter.substring(equals + 1), name, call);
            if (name.equals("after")) {
                afterName = value;
            } else if (name.equals("service") && subject.equals("Checkers")) {
                service = value;
            } else if (name.equals("limit")) {
                limit = parseLimit(value, call);
            } else {
                throw badRequest(call + " has no parameter " + name);
            }
        }
        return new ShowCall(subject, service, afterName, limit);
    }

    private static String[] queryParameters(String target) {
        int query = target.indexOf('?');
        boolean empty = query < 0 || query + 1 == target.length();
        return empty ? new String[0] : target.substring(query + 1).split("&");
    }

    private static String decodeValue(String value, String name, String call) throws MalformedMessageException {
        try {
            return URLDecoder.decode(value, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw badRequest(call + ": " + name + " cannot be read");
        }
    }

    private static int parseLimit(String value, String call) throws MalformedMessageException {
        int limit = value.matches("[0-9]{1,4}") ? Integer.parseInt(value) : 0;
        if (limit < 1 || limit > MAX_PAGE_SIZE) {
            throw badRequest(call + ": limit is no number from 1 to " + MAX_PAGE_SIZE);
        }
        return limit;
    }

    // ---- Heartbeats ---------------------------------------------------------------------------------

    private static HeartbeatCall parseHeartbeat(String id, byte[] body) throws MalformedMessageException {
        String call = "Instances.Heartbeat of " + id;
        try {
            return new HeartbeatCall(parseIncarnation(id, decodeUtf8(body, call)));
        } catch (InvalidConfigurationException e) {
            throw badRequest(call + ": " + e.getMessage());
        }
    }

    private static InstanceIncarnation parseIncarnation(String id, String body) throws InvalidConfigurationException {
        if (body.length() > MAX_HEARTBEAT_CHARS) {
            throw new InvalidConfigurationException("the body is longer than " + MAX_HEARTBEAT_CHARS);
        }
        Map<String, Object> fields = ItemJson.requireObject(ItemJson.parse(body), "the body");
        String address = requiredName(fields, "address");
        if (SocketAddresses.parse(address) == null) {
            throw new InvalidConfigurationException("address is no address:port");
        }
        int phase = parsePhase(fields);
        return new InstanceIncarnation(
                id,
                requiredName(fields, "plant"),
                address,
                requiredName(fields, "zone"),
                (int) Math.max(1, optionalNumber(fields, "capacity", 1, MAX_CAPACITY)),
                phase,
                optionalNumber(fields, "seq", 0, MAX_SEQUENCE),
                optionalNumber(fields, "coldLeftMs", 0, MAX_SLOW_START_MILLIS),
                false);
    }

    private static int parsePhase(Map<String, Object> fields) throws InvalidConfigurationException {
        String phase = requiredName(fields, "phase");
        if (phase.equals("ready")) {
            return InstanceIncarnation.READY;
        } else if (phase.equals("draining")) {
            return InstanceIncarnation.DRAINING;
        }
        throw new InvalidConfigurationException("phase is neither ready nor draining");
    }

    private static String requiredName(Map<String, Object> fields, String field) throws InvalidConfigurationException {
        String name = ItemJson.requireString(fields.get(field), field);
        if (name.length() > MAX_NAME_CHARS) {
            throw new InvalidConfigurationException(field + " is longer than " + MAX_NAME_CHARS);
        }
        return name;
    }

    private static long optionalNumber(Map<String, Object> fields, String field, long defaultValue, long max)
            throws InvalidConfigurationException {
        double number = ItemJson.numberOrDefault(fields.get(field), defaultValue, field);
        if (number > max) {
            throw new InvalidConfigurationException(field + " is over " + max);
        }
        return (long) number;
    }
}
