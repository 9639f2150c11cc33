package reedmux.gatekeeper.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Datagrams between gatekeepers: one with every field that a datagram can hold, and one with acknowledged aliases. */
public final class PeerPacketFixtures {
    private static final int LENGTH = 256;

    private PeerPacketFixtures() {}

    private static List<PeerPacket.MemberVersion> memberVersions() {
        return List.of(new PeerPacket.MemberVersion(300, 1200), new PeerPacket.MemberVersion(7, 3));
    }

    private static PeerPacket.AccountEntry entry(
            int alias, int plan, double delta, Double count, Integer inFlight, double grant) {
        return new PeerPacket.AccountEntry(
                alias,
                (1L << 33) - alias - 1,
                plan,
                plan < 0 ? 0 : 500 + alias,
                plan < 0 ? 0 : 400,
                delta,
                count,
                inFlight,
                grant);
    }

    /** Returns each datagram as it is decoded; an entry with only an alias has no plan. */
    static Map<String, PeerPacket> packets() {
        Map<String, PeerPacket> all = new LinkedHashMap<>();
        all.put("full", new PeerPacket(65_000, 9, 0x8001, 1000, 77, true, 200, memberVersions(), entries(3)));
        all.put(
                "by-alias",
                new PeerPacket(
                        9,
                        65_000,
                        0x7FFF,
                        1L << 40,
                        1L << 39,
                        false,
                        40,
                        List.of(),
                        List.of(
                                new PeerPacket.AccountEntry(0, 0, -1, 0, 0, 300, 10.5, 300, 2.25),
                                new PeerPacket.AccountEntry(1, 0, -1, 0, 0, -0.01, null, null, 0))));
        return all;
    }

    private static List<PeerPacket.AccountEntry> entries(int plan) {
        return List.of(
                entry(0, plan, -12.34, 100.25, 17, 0.5),
                entry(1, plan, 5, null, null, 0),
                entry(2, plan, 700, -3.5, null, 1000.75),
                entry(3, plan, 0.07, null, 300, 0));
    }

    /** Returns the encoded datagrams, written in this order with the aliases of one peer. */
    public static Map<String, byte[]> encoded() {
        CustomerAliases aliases = new CustomerAliases();
        Map<String, byte[]> all = new LinkedHashMap<>();
        packets().forEach((name, packet) -> {
            PeerPacketWriter writer = new PeerPacketWriter(
                    aliases,
                    packet.incarnation(),
                    packet.receiverIncarnation(),
                    packet.acceptedBits(),
                    packet.number(),
                    packet.acknowledgedNumber(),
                    packet.replyRequested(),
                    packet.syncIntervalMillis(),
                    packet.members(),
                    LENGTH);
            for (PeerPacket.AccountEntry entry : packet.entries()) {
                writer.add(
                        entry.plan() >= 0
                                ? entry
                                : new PeerPacket.AccountEntry(
                                        (1L << 33) - entry.alias() - 1,
                                        3,
                                        0,
                                        0,
                                        entry.delta(),
                                        entry.count(),
                                        entry.inFlight(),
                                        entry.grant()));
            }
            all.put(name, writer.finish());
            aliases.onAcknowledged(packet.number());
        });
        return all;
    }
}
