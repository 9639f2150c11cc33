package reedmux.control.registry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.common.http1.MalformedMessageException;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.SettingKeys;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.IncarnationAck;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionTable;
import reedmux.control.store.CoreAddresses;

/**
 * Takes the calls from outside, of checkers and of the operator, knows the lives of checkers and who of the
 * proxies holds a session, and tells both to whoever pulls. It keeps nothing on disk: after a loss of all
 * registries checkers and proxies tell again. The operator's calls go to a store, this machine's first.
 */
public final class Registry implements Program, RpcConnection.RpcConnectionHandler {
    private static final String PROGRAM_NAME = "registry";
    private static final String PROXY_PROGRAM_NAME = "proxy";
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** How long the sessions of a registry that is gone still count. */
    private static final long LOST_REGISTRY_GRACE_MICROS = 2 * MICROS_PER_SECOND;
    /** Callers wait for a second, those with large bodies longer. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 900_000;

    private static final long STORE_TIMEOUT_MICROS = 850_000;
    /** Checkers call about each {@code periodMs}; so many that are missing make one silent. */
    private static final int MISSED_HEARTBEATS = 4;
    /** So long for each that pulls, news are gathered before they are told. */
    private static final long BATCH_DELAY_PER_SESSION_MICROS = 2_000;

    private static final long MAX_BATCH_DELAY_MICROS = 200_000;
    /** How many proxies tell of us those who cannot hear us, and us what we have forgotten. */
    private static final int RELAY_PROXIES = 3;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NOT_ACKNOWLEDGED = "no other machine could be told";

    private final ProcessSettings boot;
    private final Reactor reactor;
    private final MessageCodec codec = new MessageCodec();
    private final CoreAddresses core;
    private final Hello localHello;
    /** Numbers each change of lives and of sessions. */
    private final ChangeCounter counter = new ChangeCounter();

    private final InstanceDirectory directory;
    private final SessionTable sessions = new SessionTable(LOST_REGISTRY_GRACE_MICROS, counter);
    private final List<RpcDialer> registries = new ArrayList<>();
    private final List<RpcDialer> stores = new ArrayList<>();
    private final Map<String, long[]> positionByNode = new HashMap<>();
    private final Set<RpcConnection> waitingConnections = new LinkedHashSet<>();
    private final PendingRequests<RpcConnection, Consumer<OperatorResponse>> pendingStoreRequests =
            new PendingRequests<>();
    private final PendingRequests<RpcConnection, Http1ServerConnection> pendingNotices = new PendingRequests<>();
    /** Links of proxies, in the order in which they came up. */
    private final Set<RpcConnection> proxyConnections = new LinkedHashSet<>();
    /** Those that were asked for the lives that they know, and how many of them knew none. */
    private final Set<String> queriedProxies = new HashSet<>();

    private int emptyReplies;
    /** The answer to a heartbeat: it is to come here again, so that others need not be told of each. */
    private final String heartbeatResponse;
    /** The last change that those who pull were or are about to be told of. */
    private long announcedChange;

    private boolean flushScheduled;

    private record ChangeSubscription(long sinceChange) {}

    public Registry(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
        this.boot = boot;
        this.reactor = reactor;
        core = new CoreAddresses(boot, true);
        localHello = new Hello(
                Messages.FORMAT_VERSION,
                PROGRAM_NAME,
                boot.node(),
                boot.ip(),
                boot.zone(),
                reactor.newIncarnationId() ^ (long) boot.node().hashCode() << 32,
                core.machines());
        directory = new InstanceDirectory(localHello.incarnation(), counter);
        heartbeatResponse = "{\"beatTarget\":\"" + boot.ip() + ':'
                + boot.socketAddress(SettingKeys.CONTROL_SOCKET).getPort() + "\"}";
        if (boot.dataDir() != null) {
            new IncarnationStorage(boot.dataDir().resolve("lives"), reactor, codec, directory);
        }
        core.others(boot.registryPort()).forEach(other -> connect(registries, other));
        connect(stores, SocketAddresses.parse(boot.ip() + ':' + boot.storePort()));
        core.others(boot.storePort()).forEach(other -> connect(stores, other));
        new TcpListener(
                reactor,
                SocketAddresses.parse(boot.ip() + ':' + boot.registryPort()),
                wire -> RpcConnection.accept(reactor, codec, localHello, wire, this));
        new TcpListener(
                reactor,
                boot.socketAddress(SettingKeys.CONTROL_SOCKET),
                wire -> new Http1ServerConnection(reactor, wire, this::onCall));
        long silence = MISSED_HEARTBEATS * boot.durationMicros(SettingKeys.HEARTBEAT_INTERVAL_MILLIS, 1500);
        reactor.scheduleEvery(MICROS_PER_SECOND, () -> onHeartbeatTick(silence));
    }

    @Override
    public void beginShutdown() {
        reactor.stop();
    }

    @Override
    public void reload(ProcessSettings next) {
        addMachines(new CoreAddresses(next, false).machines());
    }

    private void addMachines(List<String> machines) {
        for (InetSocketAddress other : core.learn(machines, boot.registryPort())) {
            connect(registries, other);
            connect(stores, new InetSocketAddress(other.getAddress(), boot.storePort()));
        }
    }

    /** A store tells of the core as it is agreed on: who is new is dialled, who has left is let go. */
    private void applyCoreMembership(CoreMembers told) {
        Set<String> before = new HashSet<>(core.machines());
        if (!core.adopt(told)) {
            return;
        }
        for (List<RpcDialer> all : List.of(registries, stores)) {
            for (RpcDialer gone : List.copyOf(all)) {
                if (core.isRemoved(gone.address())
                        && !gone.address().getAddress().getHostAddress().equals(boot.ip())) {
                    all.remove(gone);
                    gone.close();
                }
            }
        }
        for (InetSocketAddress other : core.others(boot.registryPort())) {
            if (!before.contains(other.getAddress().getHostAddress())) {
                connect(registries, other);
                connect(stores, new InetSocketAddress(other.getAddress(), boot.storePort()));
            }
        }
    }

    private void connect(List<RpcDialer> to, InetSocketAddress other) {
        to.add(new RpcDialer(reactor, codec, localHello, other, this));
    }

    private void onHeartbeatTick(long silence) {
        int silent = directory.detectTimeouts(reactor.now(), silence);
        if (silent > 0) {
            reactor.warnRateLimited("silent", silent + " checkers have fallen silent");
        }
        List<InstanceDirectory.RegistryHeartbeat> contacts = directory.nextHeartbeats(reactor.now());
        byte[] all = codec.encode(new RegistryHeartbeats(contacts));
        boolean apart = false;
        for (RpcDialer other : registries) {
            if (other.connection() != null) {
                other.connection().sendEncoded(all);
            }
            apart |= other.connection() == null;
        }
        if (apart) { // those who cannot hear us hear of us through proxies that both of us know
            byte[] own = codec.encode(new RegistryHeartbeats(contacts.subList(0, 1)));
            relayProxies().forEach(link -> link.sendEncoded(own));
        }
        announceChanges();
    }

    /** A few proxies, of zones that differ if they can be had. */
    private List<RpcConnection> relayProxies() {
        Set<String> zones = new HashSet<>();
        List<RpcConnection> chosen = new ArrayList<>();
        for (RpcConnection link : proxyConnections) {
            if (chosen.size() < RELAY_PROXIES && zones.add(link.peer().zone())) {
                chosen.add(link);
            }
        }
        for (RpcConnection link : proxyConnections) {
            if (chosen.size() < RELAY_PROXIES && !chosen.contains(link)) {
                chosen.add(link);
            }
        }
        return chosen;
    }

    /** A few of the proxies are to tell us the lives that they know, as we have just started. */
    private void requestIncarnations() {
        for (RpcConnection link : proxyConnections) {
            if (queriedProxies.size() - emptyReplies < RELAY_PROXIES
                    && queriedProxies.add(link.peer().node())) {
                link.sendMessage(new ChangesRequest(0, 0));
            }
        }
    }

    // ---- Calls from outside ------------------------------------------------------------------------
    private void onCall(Http1ServerConnection.Http1Request call, Http1ServerConnection from) {
        ControlCall command;
        try {
            command = ControlCall.parse(call.head(), call.body());
        } catch (MalformedMessageException e) {
            from.respond(e.status(), e.getMessage());
            return;
        }
        if (command instanceof ControlCall.HeartbeatCall heartbeat) {
            directory.onHeartbeat(heartbeat.incarnation(), reactor.now());
            acknowledge(heartbeat.incarnation().id(), heartbeatResponse, from);
        } else if (command instanceof ControlCall.InstanceLeaveCall leave) {
            CheckerIncarnation before = directory.get(leave.id(), reactor.now());
            if (before == null) { // all that can be known of it: that it is over
                before = new CheckerIncarnation(
                        leave.id(), "", "0.0.0.0:0", "", 1, CheckerIncarnation.READY, 0, 0, false);
            }
            directory.merge(
                    new CheckerIncarnation(
                            leave.id(),
                            before.service(),
                            before.address(),
                            before.zone(),
                            before.capacity(),
                            CheckerIncarnation.GONE,
                            before.sequence(),
                            0,
                            false),
                    reactor.now());
            acknowledge(leave.id(), "{}", from);
        } else if (command instanceof ControlCall.CoreLeaveCall leave) {
            forwardToStore(0, id -> new Messages.CoreRemovalRequest(id, leave.node()), from);
        } else if (command instanceof ControlCall.ConfigAdjustCall adjust) {
            forwardToStore(0, id -> new Messages.ConfigurationChangeRequest(id, adjust.body()), from);
        } else if (command instanceof ControlCall.ShowCall show) {
            onShow(show, from);
        } else {
            forwardToStore(0, Messages.ConfigurationReadRequest::new, from);
        }
    }

    /** A checker that leaves is acknowledged only once another machine knows, too. */
    private void acknowledge(String id, String good, Http1ServerConnection from) {
        CheckerIncarnation now = directory.get(id, reactor.now());
        announceChanges();
        if (now.phase() == CheckerIncarnation.READY || registries.isEmpty()) {
            from.respond(STATUS_OK, good);
            return;
        }
        List<RpcConnection> up = registries.stream()
                .map(RpcDialer::connection)
                .filter(link -> link != null)
                .toList();
        if (up.isEmpty()) {
            from.respond(STATUS_UNAVAILABLE, NOT_ACKNOWLEDGED); // at once, so that it goes on to another
            return;
        }
        long number = pendingNotices.register(up, from);
        up.forEach(link -> link.sendMessage(new IncarnationNotice(number, List.of(now))));
        reactor.scheduleAfter(
                ACKNOWLEDGEMENT_TIMEOUT_MICROS, () -> rejectUnacknowledged(pendingNotices.cancel(number)));
    }

    private static void rejectUnacknowledged(Http1ServerConnection from) {
        if (from != null) {
            from.respond(STATUS_UNAVAILABLE, NOT_ACKNOWLEDGED);
        }
    }

    /** Asks a store, and where it cannot say, the next one. */
    private void forwardToStore(
            int store, java.util.function.LongFunction<Object> message, Http1ServerConnection from) {
        if (store >= stores.size()) {
            from.respond(STATUS_UNAVAILABLE, "no store can be reached");
            return;
        }
        RpcConnection link = stores.get(store).connection();
        if (link == null) {
            forwardToStore(store + 1, message, from);
            return;
        }
        long number = pendingStoreRequests.register(List.of(link), outcome -> {
            boolean next = outcome.status() == STATUS_UNAVAILABLE
                    && message.apply(0) instanceof Messages.ConfigurationReadRequest
                    && store + 1 < stores.size();
            if (next) {
                forwardToStore(store + 1, message, from);
            } else {
                from.respond(outcome.status(), outcome.body());
            }
        });
        link.sendMessage(message.apply(number));
        reactor.scheduleAfter(
                STORE_TIMEOUT_MICROS,
                () -> failStoreRequest(pendingStoreRequests.cancel(number), "the store does not answer"));
    }

    private static void failStoreRequest(Consumer<OperatorResponse> waits, String why) {
        if (waits != null) {
            waits.accept(new OperatorResponse(0, STATUS_UNAVAILABLE, why));
        }
    }

    /** What is known here, and what the nearest store says; answered in any case. */
    private void onShow(ControlCall.ShowCall show, Http1ServerConnection from) {
        RpcConnection store = null;
        for (RpcDialer dialer : stores) { // this machine's first
            store = store == null ? dialer.connection() : store;
        }
        if (store == null) {
            from.respond(STATUS_OK, renderStatus(show, null, "no store can be reached"));
            return;
        }
        long number = pendingStoreRequests.register(
                List.of(store),
                outcome -> from.respond(
                        STATUS_OK,
                        outcome.status() == STATUS_OK
                                ? renderStatus(show, outcome.body(), "")
                                : renderStatus(show, null, outcome.body())));
        store.sendMessage(new Messages.StoreStatusRequest(number, show.subject(), show.afterName(), show.limit()));
        reactor.scheduleAfter(
                STORE_TIMEOUT_MICROS,
                () -> failStoreRequest(pendingStoreRequests.cancel(number), "the store does not answer"));
    }

    private String renderStatus(ControlCall.ShowCall show, String store, String why) {
        return new RegistryStatusReport(localHello, directory, sessions, registries, reactor.now())
                .toJson(show, store, why);
    }

    // ---- Links -------------------------------------------------------------------------------------
    @Override
    public void onConnected(RpcConnection link) {
        String program = link.peer().program();
        addMachines(link.peer().coreIps());
        if (program.equals(PROGRAM_NAME) && registries.stream().anyMatch(other -> other.connection() == link)) {
            long[] from = positionByNode.getOrDefault(link.peer().node(), new long[] {0, 0});
            if (from[0] == link.peer().incarnation()) {
                sessions.onSourceRestored(link.peer().node());
            }
            link.sendMessage(new ChangesRequest(from[0], from[1]));
        } else if (program.equals(PROXY_PROGRAM_NAME)) {
            sessions.start(sessionOf(link));
            announceChanges();
            proxyConnections.add(link);
            requestIncarnations();
        }
    }

    private static ProxySession sessionOf(RpcConnection link) {
        Hello other = link.peer();
        return new ProxySession(other.node(), other.ip(), other.zone(), other.incarnation());
    }

    @Override
    public void onDisconnected(RpcConnection link) {
        waitingConnections.remove(link);
        pendingNotices.onConnectionLost(link).forEach(Registry::rejectUnacknowledged);
        pendingStoreRequests
                .onConnectionLost(link)
                .forEach(waits -> failStoreRequest(waits, "the link to the store has ended"));
        proxyConnections.remove(link);
        if (link.peer() != null && link.peer().program().equals(PROXY_PROGRAM_NAME)) {
            sessions.end(sessionOf(link));
            announceChanges();
        } else if (link.peer() != null
                && registries.stream()
                        .noneMatch(other -> other.connection() != null
                                && other.connection()
                                        .peer()
                                        .node()
                                        .equals(link.peer().node()))) {
            sessions.onSourceLost(link.peer().node(), reactor.now());
        }
    }

    @Override
    public void onMessage(RpcConnection link, Object message) {
        if (message instanceof ChangesRequest pull) {
            link.attachment(
                    new ChangeSubscription(pull.incarnation() == localHello.incarnation() ? pull.sinceChange() : -1));
            waitingConnections.add(link);
            if (pull.incarnation() != localHello.incarnation()) { // it knows nothing of us
                sendUpdate(link, null);
            } else if (counter.last() > pull.sinceChange()) {
                scheduleFlush();
            }
        } else if (message instanceof MembershipUpdate news) {
            positionByNode.put(link.peer().node(), new long[] {news.incarnation(), news.upToChange()});
            news.instances().forEach(life -> directory.merge(life, reactor.now()));
            news.owners().forEach(owned -> directory.mergeOwner(owned, reactor.now()));
            sessions.merge(link.peer().node(), news.sessions(), reactor.now());
            link.sendMessage(new ChangesRequest(news.incarnation(), news.upToChange()));
            announceChanges();
        } else if (message instanceof IncarnationNotice tell) {
            tell.instances().forEach(life -> directory.merge(life, reactor.now()));
            if (link.peer().program().equals(PROXY_PROGRAM_NAME)
                    && tell.instances().isEmpty()) {
                emptyReplies++;
                requestIncarnations();
            }
            link.sendMessage(new IncarnationAck(tell.id()));
            announceChanges();
        } else if (message instanceof CoreMembershipNotice told) {
            applyCoreMembership(told.core());
        } else if (message instanceof IncarnationAck known) {
            Http1ServerConnection waits = pendingNotices.complete(known.id(), link);
            if (waits != null) {
                waits.respond(STATUS_OK, "{}");
            }
        } else if (message instanceof RegistryHeartbeats contacts) {
            contacts.heartbeats().forEach(contact -> directory.onRegistryHeartbeat(contact, reactor.now()));
        } else if (message instanceof OperatorResponse outcome) {
            Consumer<OperatorResponse> waits = pendingStoreRequests.complete(outcome.id(), link);
            if (waits != null) {
                waits.accept(outcome);
            }
        }
    }

    /** What has changed is numbered in one row, whether it is of lives or of sessions. */
    private void announceChanges() {
        sessions.recordViewChanges(reactor.now());
        if (counter.last() != announcedChange) {
            announcedChange = counter.last();
            scheduleFlush();
        }
    }

    /** Where many pull, as when all of them start, changes that come together are told together. */
    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            reactor.scheduleAfter(
                    Math.min(sessions.localSessionCount() * BATCH_DELAY_PER_SESSION_MICROS, MAX_BATCH_DELAY_MICROS),
                    this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        Map<Long, byte[]> written = new HashMap<>();
        List.copyOf(waitingConnections).forEach(link -> sendUpdate(link, written));
    }

    /** {@code written}: what others who know as much were just told, by what they know; may be null. */
    private void sendUpdate(RpcConnection link, Map<Long, byte[]> written) {
        ChangeSubscription waiting = link.attachment();
        if (waiting == null || waiting.sinceChange() >= counter.last()) {
            return;
        }
        boolean registry = link.peer().program().equals(PROGRAM_NAME);
        byte[] told = registry || written == null ? null : written.get(waiting.sinceChange());
        if (told == null) {
            sessions.recordViewChanges(reactor.now());
            MembershipUpdate news = new MembershipUpdate(
                    localHello.incarnation(),
                    counter.last(),
                    directory.changedSince(waiting.sinceChange(), reactor.now()),
                    registry ? directory.ownersChangedSince(waiting.sinceChange()) : List.of(),
                    registry
                            ? sessions.localChangesSince(waiting.sinceChange())
                            : sessions.viewChangesSince(waiting.sinceChange()));
            if (news.instances().isEmpty()
                    && news.owners().isEmpty()
                    && news.sessions().isEmpty()) {
                // What has changed is not for it.
                link.attachment(new ChangeSubscription(counter.last()));
                return;
            }
            told = codec.encode(news);
            if (!registry && written != null) {
                written.put(waiting.sinceChange(), told);
            }
        }
        link.attachment(null);
        waitingConnections.remove(link);
        link.sendEncoded(told);
    }
}
