package reedmux.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.eventloop.UdpEndpoint;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.SettingKeys;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.RequestLimits;
import reedmux.control.configuration.RouteItem;
import reedmux.control.configuration.TenantItem;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.replication.ConfigurationFollower;
import reedmux.control.replication.ReplicationPosition;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.session.SessionTable;
import reedmux.control.session.SessionView;
import reedmux.control.store.CoreAddresses;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.quota.QuotaTracker;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestTracker;
import reedmux.proxy.retry.RetryBudget;

/**
 * Carries the traffic: clients on one side, checkers on the other, and what it has to know pulled from the
 * core.
 */
public final class Proxy
        implements Program,
                RpcConnection.RpcConnectionHandler,
                RequestTracker.RequestPort,
                ClientConnection.ClientRequestHandler {
    private static final String PROGRAM_NAME = "proxy";
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long LOST_REGISTRY_LINGER_MICROS = 2 * MICROS_PER_SECOND;
    private static final long MAINTENANCE_INTERVAL_MICROS = MICROS_PER_SECOND / 4;
    /** Bodies that are held for all clients together; beyond that no further one is begun. */
    private static final int MAX_BUFFERED_BODY_BYTES = 24 * 1024 * 1024;
    /** A client is told to come back after so long where it is not its own quota that is in the way. */
    private static final long RETRY_AFTER_MICROS = MICROS_PER_SECOND / 4;
    /** Entries in one datagram. */
    private static final int MAX_ENTRIES_PER_DATAGRAM = 24;
    /** After SIGTERM new connections still come for about two seconds. */
    private static final long DRAIN_KEEP_IDLE_MICROS = 3 * MICROS_PER_SECOND;

    private static final int RESERVED_DESCRIPTORS = 400;
    /** So long after a change of the bounds clients may still go by the ones before. */
    private static final long BOUNDS_TRANSITION_MICROS = 5 * MICROS_PER_SECOND;
    /** A look that comes so late was held up, and what came in meanwhile has not been read. */
    private static final long STALL_THRESHOLD_MICROS = MICROS_PER_SECOND;
    /** Of further tries, where the settings file does not say. */
    private static final double DEFAULT_RETRY_RATIO = 0.1;

    private static final double DEFAULT_RETRY_SLACK = 10;
    /** After so long without a store that has a quorum, what the others tell is served. */
    private static final long UNCONFIRMED_START_MICROS = 4 * MICROS_PER_SECOND;
    /** By then a start has usually come so far that requests can be served. */
    private static final long TYPICAL_START_MICROS = MICROS_PER_SECOND / 5;
    /** Of the time that it has left, what a request may wait for that, and the most. */
    private static final int START_WAIT_DIVISOR = 8;

    private static final long MAX_START_WAIT_MICROS = MICROS_PER_SECOND / 4;
    private static final int MAX_CLIENTS_AWAITING_START = 256;

    private final ProcessSettings boot;
    private final Reactor reactor;
    private final MessageCodec codec = new MessageCodec();
    private final CoreAddresses core;
    private final Hello self;
    private final ConfigurationFollower configuration = new ConfigurationFollower();
    private final InstanceDirectory instances = new InstanceDirectory();
    private final SessionTable sessions = new SessionTable(LOST_REGISTRY_LINGER_MICROS);
    private final LoadBalancer loadBalancer;
    private final QuotaTracker quotas;
    private final RetryBudget retryBudget;
    private final RequestTracker requests;
    private final List<RpcDialer> stores = new ArrayList<>();
    private final List<RpcDialer> registries = new ArrayList<>();
    private final Map<String, ReplicationPosition> registryPositions = new HashMap<>();
    private final UdpEndpoint peerSocket;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final CheckerConnectionPool checkerConnections;
    /** Clients whose requests wait for the end of our start. */
    private final Set<ClientConnection> clientsAwaitingStart = new LinkedHashSet<>();

    private final int maxClients;
    private final long shutdownGraceMicros;
    private SessionView view = SessionView.of(List.of());
    /** What clients may send, and what they might before a change that they need not have heard of. */
    private RequestLimits bounds;

    private RequestLimits transitionBounds;
    private long transitionEndsAt;
    private long lastMaintenanceAt;
    private boolean ready;
    /** Whether a store has told all that was in force when it was in touch with a quorum, after our start. */
    private boolean configurationConfirmed;

    private final long startedAt;
    private long drainingSince = -1;

    /** A request as it was read, or why it is refused at once. */
    public record AdmissionResult(ClientRequest request, ProxyResponse rejection) {}

    public Proxy(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
        this.boot = boot;
        this.reactor = reactor;
        // First of all, so that after a restart clients wait for us and are not turned away.
        new TcpListener(reactor, boot.socketAddress(SettingKeys.FRONT_SOCKET), this::onClientAccepted);
        new TcpListener(
                reactor,
                boot.socketAddress(SettingKeys.READY_SOCKET),
                wire -> new Http1ServerConnection(reactor, wire, this::answerReadiness));
        startedAt = reactor.now();
        lastMaintenanceAt = startedAt;
        long life = reactor.newIncarnationId() ^ (long) boot.node().hashCode() << 32;
        core = new CoreAddresses(boot, false);
        self = new Hello(
                Messages.FORMAT_VERSION, PROGRAM_NAME, boot.node(), boot.ip(), boot.zone(), life, core.machines());
        loadBalancer = new LoadBalancer(boot.node(), boot.zone(), life);
        quotas = new QuotaTracker(boot.node(), life, !boot.coldStart(), reactor.now());
        retryBudget = new RetryBudget(
                boot.number(SettingKeys.RETRY_RATIO, DEFAULT_RETRY_RATIO),
                boot.number(SettingKeys.RETRY_SLACK, DEFAULT_RETRY_SLACK),
                !boot.coldStart());
        requests = new RequestTracker(this, loadBalancer, retryBudget, life);
        checkerConnections = new CheckerConnectionPool(reactor, requests);
        maxClients = Math.max(64, (int) boot.number(SettingKeys.DESCRIPTOR_LIMIT, 1024) - RESERVED_DESCRIPTORS);
        shutdownGraceMicros = (long) (boot.number(SettingKeys.SHUTDOWN_GRACE_SECONDS, 6) * MICROS_PER_SECOND);
        core.others(boot.storePort()).forEach(this::dial);
        peerSocket = new UdpEndpoint(
                reactor, SocketAddresses.parse(boot.ip() + ':' + boot.peerPort()), this::onPeerDatagram);
        reactor.scheduleEvery(MAINTENANCE_INTERVAL_MICROS, this::runMaintenance);
        sendQuotaUpdates();
    }

    /** Keeps up links with both programs of a core machine. */
    private void dial(InetSocketAddress store) {
        stores.add(new RpcDialer(reactor, codec, self, store, this));
        registries.add(new RpcDialer(
                reactor, codec, self, new InetSocketAddress(store.getAddress(), boot.registryPort()), this));
    }

    @Override
    public long now() {
        return reactor.now();
    }

    @Override
    public void executeLater(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public RequestLimits bounds() {
        RequestLimits next = configuration.table() == null
                ? RequestLimits.DEFAULTS
                : configuration.table().requestLimits();
        if (next != bounds) {
            RequestLimits before = now() < transitionEndsAt ? transitionBounds : bounds;
            transitionBounds = before == null ? next : before.mostPermissive(next);
            transitionEndsAt = now() + BOUNDS_TRANSITION_MICROS;
            bounds = next;
        }
        return now() < transitionEndsAt ? transitionBounds : next;
    }

    @Override
    public boolean isDraining() {
        return drainingSince >= 0;
    }

    // ---- The core ----------------------------------------------------------------------------------
    @Override
    public void onConnected(RpcConnection link) {
        core.learn(link.peer().coreIps(), boot.storePort()).forEach(this::dial);
        pull(link);
    }

    private void pull(RpcConnection link) {
        String source = link.peer().node();
        boolean store = link.peer().program().equals("store");
        ReplicationPosition from = store
                ? configuration.position(source)
                : registryPositions.getOrDefault(source, ReplicationPosition.NONE);
        if (from.incarnation() == link.peer().incarnation()
                && link.peer().program().equals("registry")) {
            sessions.onSourceRestored(source);
        }
        long arrived =
                store ? configuration.snapshot().resumeFrom(source, link.peer().incarnation()) : -1;
        link.sendMessage(
                arrived < 0
                        ? new ChangesRequest(from.incarnation(), from.change())
                        : new SnapshotChunkRequest(link.peer().incarnation(), arrived));
    }

    @Override
    public void onMessage(RpcConnection link, Object message) {
        if (message instanceof ConfigurationUpdate items) {
            if (items.complete() || !configuration.isEmpty()) {
                if (configuration.onUpdate(
                        link.peer().node(), items.incarnation(), items.upToChange(), items.items())) {
                    configuration
                            .table()
                            .services()
                            .forEach(plant -> loadBalancer.setConnectionLimit(plant.name(), plant.maxConnections()));
                }
            }
            pull(link);
            resumeClientsAwaitingStart();
        } else if (message instanceof SnapshotChunk piece) {
            configuration
                    .snapshot()
                    .addChunk(link.peer().node(), piece.incarnation(), piece.upToChange(), piece.items());
            link.sendMessage(new SnapshotChunkRequest(piece.incarnation(), piece.upToChange()));
        } else if (message instanceof CaughtUpNotice) {
            configurationConfirmed = true;
            resumeClientsAwaitingStart();
        } else if (message instanceof MembershipUpdate news) {
            registryPositions.put(link.peer().node(), new ReplicationPosition(news.incarnation(), news.upToChange()));
            for (CheckerIncarnation life : news.instances()) {
                if (instances.merge(life, now())) {
                    loadBalancer.onIncarnationUpdate(instances.get(life.id(), now()), now());
                }
            }
            sessions.merge(link.peer().node(), news.sessions(), now());
            updateSessionView();
            requests.onEvent(now(), new RequestEvent.CapacityAvailable());
            pull(link);
            resumeClientsAwaitingStart();
        } else if (message instanceof CoreMembershipNotice told) {
            onCoreMembership(told.core());
        } else if (message instanceof ChangesRequest) { // a registry that has started may have lost what we know
            link.sendMessage(new IncarnationNotice(0, List.copyOf(instances.all(now()))));
        } else if (message instanceof RegistryHeartbeats) { // of one that others may not be able to hear
            for (RpcDialer other : registries) {
                if (other.connection() != null && other.connection() != link) {
                    other.connection().sendMessage(message);
                }
            }
        }
    }

    /** A store tells of the core as it is agreed on: who is new is dialled, who has left is let go. */
    private void onCoreMembership(CoreMembers told) {
        if (!core.adopt(told)) {
            return;
        }
        for (List<RpcDialer> all : List.of(stores, registries)) {
            for (RpcDialer gone : List.copyOf(all)) {
                if (core.isRemoved(gone.address())) {
                    all.remove(gone);
                    gone.close();
                }
            }
        }
        for (InetSocketAddress other : core.others(boot.storePort())) {
            if (stores.stream().noneMatch(dialer -> dialer.address().equals(other))) {
                dial(other);
            }
        }
    }

    /**
     * Whether requests can be judged and sent on. Where no store has found a quorum, what any of them has is
     * served after a while, as it earns what it can; but nobody is refused by it.
     */
    private boolean canServe() {
        return configuration.table() != null
                && !loadBalancer.isEmpty()
                && (isConfigurationCurrent() || now() - startedAt > UNCONFIRMED_START_MICROS);
    }

    /** A start may have come to its end: then requests that wait for it go on. */
    private void resumeClientsAwaitingStart() {
        if (!clientsAwaitingStart.isEmpty() && canServe()) {
            List<ClientConnection> all = List.copyOf(clientsAwaitingStart);
            clientsAwaitingStart.clear();
            all.forEach(ClientConnection::resumeDeferred);
        }
    }

    /**
     * Whether a request is to wait for the end of our start: where that is likely to come so soon that it is
     * still in time. It goes on by itself, at the latest when its part of the time is over.
     */
    @Override
    public boolean deferUntilStarted(ClientConnection client, Http1Head head) {
        if (canServe()) {
            return false;
        }
        long patience = Math.min(
                MAX_START_WAIT_MICROS,
                parseTimeLeftMillis(head.get("Reedmux-Time-Left-Ms")) * 1000 / START_WAIT_DIVISOR);
        if (now() + patience < startedAt + TYPICAL_START_MICROS
                || now() > startedAt + 2 * MICROS_PER_SECOND
                || clientsAwaitingStart.size() >= MAX_CLIENTS_AWAITING_START) {
            return false;
        }
        clientsAwaitingStart.add(client);
        reactor.scheduleAfter(patience, () -> {
            if (clientsAwaitingStart.remove(client)) {
                client.resumeDeferred();
            }
        });
        return true;
    }

    /** Whether the configuration is as new as was acknowledged before our start. */
    private boolean isConfigurationCurrent() {
        return configuration.table() != null && !configuration.isEmpty() && configurationConfirmed;
    }

    @Override
    public void onDisconnected(RpcConnection link) {
        if (link.peer().program().equals("registry")) {
            sessions.onSourceLost(link.peer().node(), now());
        }
    }

    private void updateSessionView() {
        SessionView next = sessions.view(now());
        quotas.setRegistriesUnreachable(sessions.isIsolated());
        if (next.digest() != view.digest()) {
            reactor.debug(next.size() + " members, before " + view.size());
            view = next;
            quotas.onViewChange(view, now());
            loadBalancer.onViewChange(view);
            retryBudget.setMemberCount(view.size());
        }
    }

    // ---- Peers -------------------------------------------------------------------------------------
    private void sendQuotaUpdates() {
        for (QuotaTracker.OutgoingUpdate letter : quotas.collectUpdates(now())) {
            InetSocketAddress to =
                    SocketAddresses.parse(view.member(letter.receiver()).ip() + ':' + boot.peerPort());
            QuotaTracker.QuotaUpdate packet = letter.update();
            List<QuotaTracker.TenantTotal> all = packet.entries();
            int from = 0;
            do {
                int end = Math.min(all.size(), from + MAX_ENTRIES_PER_DATAGRAM);
                peerSocket.send(
                        to,
                        codec.encode(new QuotaTracker.QuotaUpdate(
                                self.node(),
                                self.incarnation(),
                                packet.generation(),
                                packet.viewTag(),
                                packet.reachableMembers(),
                                new ArrayList<>(all.subList(from, end)))));
                from = end;
            } while (from < all.size());
        }
        reactor.scheduleAfter(quotas.sendIntervalMicros(), this::sendQuotaUpdates);
    }

    private void onPeerDatagram(InetSocketAddress from, byte[] bytes) {
        if (codec.decodeOrNull(bytes) instanceof QuotaTracker.QuotaUpdate packet && configuration.table() != null) {
            quotas.onUpdate(packet, name -> configuration.table().tenant(name), now());
        }
    }

    // ---- Clients -----------------------------------------------------------------------------------
    private void onClientAccepted(Connection wire) {
        if (clients.size() >= maxClients) {
            clients.stream()
                    .filter(ClientConnection::isIdle)
                    .findFirst()
                    .ifPresent(oldest -> oldest.checkTimeouts(Long.MAX_VALUE / 2, true));
        }
        if (clients.size() >= maxClients) {
            wire.close();
        } else {
            clients.add(new ClientConnection(this, wire));
        }
    }

    @Override
    public void onClientClosed(ClientConnection client) {
        clients.remove(client);
        clientsAwaitingStart.remove(client);
    }

    private void answerReadiness(Http1ServerConnection.Http1Request call, Http1ServerConnection from) {
        boolean asked = call.head().path().equals("/v1/readiness");
        from.respond(!asked ? 404 : isReady() ? 200 : 503, isReady() ? "ready" : "not ready");
    }

    private boolean isReady() {
        if (isDraining()) {
            return false;
        }
        if (!ready) {
            long heard = registries.stream()
                    .filter(other -> other.connection() != null)
                    .count();
            ready = isConfigurationCurrent() && heard > 0 && !loadBalancer.isEmpty() && view.indexOf(boot.node()) >= 0;
            if (ready) {
                reactor.info("ready after " + (now() - startedAt) / 1000 + " ms, with " + loadBalancer.size()
                        + " checkers and " + view.size() + " members");
            }
        }
        return ready;
    }

    /** Judges a request by its head. */
    @Override
    public AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody upload) {
        ConfigurationTable table = configuration.table();
        if (!canServe()) {
            // A request that waits here is late; one that comes back soon is new.
            return rejected(
                    503, "not ready yet", Math.max(RETRY_AFTER_MICROS / 2, startedAt + TYPICAL_START_MICROS - now()));
        }
        RouteItem route = table.matchRoute(head.get("Host"), head.path());
        if (route == null) {
            return isConfigurationCurrent() ? rejected(404, "no route leads there", -1) : configurationNotCurrent();
        }
        TenantItem tenant = null;
        if (table.requiresKey() && !route.keyOptional()) {
            String told = head.count("Authorization") == 1 ? head.get("Authorization") : null;
            tenant = told == null || !told.regionMatches(true, 0, "Bearer ", 0, 7)
                    ? null
                    : table.tenantByKey(told.substring(7).trim());
            if (tenant == null) {
                return isConfigurationCurrent() ? rejected(401, "the key is not known", -1) : configurationNotCurrent();
            }
        }
        String attempt = head.get("Reedmux-Attempt-Id");
        long left = parseTimeLeftMillis(head.get("Reedmux-Time-Left-Ms"));
        if (attempt == null || attempt.isEmpty() || head.count("Reedmux-Attempt-Id") > 1 || left < 0) {
            return rejected(400, "Reedmux-Attempt-Id is missing, or Reedmux-Time-Left-Ms is no whole number", -1);
        }
        if (upload != null && upload.length() > bounds().maxBodyBytes()) {
            return rejected(413, "the body is larger than " + bounds().maxBodyBytes() + " bytes", -1);
        }
        if (upload != null
                && clients.stream()
                                .mapToLong(ClientConnection::bufferedBodyBytes)
                                .sum()
                        > MAX_BUFFERED_BODY_BYTES) {
            return rejected(503, "too many bodies are coming in", RETRY_AFTER_MICROS);
        }
        if (tenant != null && !quotas.admit(tenant, now())) {
            return rejected(
                    429,
                    "the quota is used up",
                    Math.max(RETRY_AFTER_MICROS / 4, quotas.retryAfterMicros(tenant, now())));
        }
        ClientRequest request = new ClientRequest(client, head, attempt, tenant == null ? null : tenant.name(), upload);
        request.proxyRequest(new ProxyRequest(
                route,
                tenant,
                request,
                client.headReceivedAt(),
                client.headReceivedAt() + Math.min(left * 1000, route.timeoutMicros())));
        return new AdmissionResult(request, null);
    }

    private static AdmissionResult rejected(int status, String text, long retryAfter) {
        return new AdmissionResult(null, new ProxyResponse.LocalResponse(status, text, retryAfter));
    }

    private static AdmissionResult configurationNotCurrent() {
        return rejected(503, "the configuration may be old", RETRY_AFTER_MICROS);
    }

    private static long parseTimeLeftMillis(String told) {
        if (told == null) {
            return 3_600_000;
        }
        return told.isEmpty() || told.length() > 9 || !told.chars().allMatch(c -> c >= '0' && c <= '9')
                ? -1
                : Long.parseLong(told);
    }

    @Override
    public void dispatch(ClientRequest request) {
        requests.onEvent(now(), new RequestEvent.RequestAccepted(request.proxyRequest()));
    }

    /** Nobody waits for a request any more; {@code launched}: it was sent on, perhaps. */
    @Override
    public void onRequestAbandoned(ClientRequest request, boolean launched) {
        if (!launched) {
            refundQuota(request.proxyRequest());
            return;
        }
        requests.onEvent(now(), new RequestEvent.ClientDisconnected(request.proxyRequest()));
    }

    // ---- What requests call for --------------------------------------------------------------------
    @Override
    public void send(RequestAttempt what) {
        checkerConnections.send(what, (ClientRequest) what.request().source());
    }

    @Override
    public void cancel(RequestAttempt what) {
        checkerConnections.cancel(what);
    }

    @Override
    public void respond(ProxyRequest exchange, ProxyResponse answer) {
        ((ClientRequest) exchange.source()).client().respond((ClientRequest) exchange.source(), answer);
    }

    @Override
    public void refundQuota(ProxyRequest exchange) {
        if (exchange.tenant() != null) {
            quotas.refund(exchange.tenant(), now());
        }
    }

    @Override
    public void schedule(long at, RequestEvent event) {
        reactor.scheduleAt(at, () -> requests.onEvent(now(), event));
    }

    // ---- Now and then ------------------------------------------------------------------------------
    private void runMaintenance() {
        updateSessionView();
        loadBalancer.updateUtilization();
        checkerConnections.closeUnusable();
        boolean closesIdle = isDraining() && now() - drainingSince > DRAIN_KEEP_IDLE_MICROS;
        boolean heldUp = now() - lastMaintenanceAt > STALL_THRESHOLD_MICROS;
        lastMaintenanceAt = now();
        for (ClientConnection client : heldUp ? List.<ClientConnection>of() : List.copyOf(clients)) {
            client.checkTimeouts(now(), closesIdle);
        }
        if (closesIdle && clients.isEmpty()
                || isDraining() && now() - drainingSince > shutdownGraceMicros - MICROS_PER_SECOND / 3) {
            requests.onEvent(now(), new RequestEvent.ProxyShutdown());
            reactor.stop();
        }
    }

    /** From now on no client is to come here; those that do are served, and the end follows. */
    @Override
    public void beginShutdown() {
        if (drainingSince < 0) {
            drainingSince = now();
        }
    }

    @Override
    public void reload(ProcessSettings next) throws ProcessSettingsException {
        core.learn(new CoreAddresses(next, false).machines(), boot.storePort()).forEach(this::dial);
        retryBudget.setLimits(
                next.number(SettingKeys.RETRY_RATIO, DEFAULT_RETRY_RATIO),
                next.number(SettingKeys.RETRY_SLACK, DEFAULT_RETRY_SLACK));
    }
}
