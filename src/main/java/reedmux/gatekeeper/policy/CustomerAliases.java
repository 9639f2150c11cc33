package reedmux.gatekeeper.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;

/**
 * The short numbers by which a gateway and one peer name customers, its own and the peer's; both begin anew with an
 * incarnation. Only the latest {@link #MAX_ALIASES} hold, on both sides by the same rule: many customers come once and
 * never again, and aliases without end would fill the memory.
 */
final class CustomerAliases {
    /** Customers with an alias at a time, on each side. */
    static final int MAX_ALIASES = 1024;

    private final Map<Long, Integer> ownAliases = new LinkedHashMap<>();
    /** The latest packet that announced an alias whose announcement is not acknowledged yet. */
    private final Map<Integer, Long> announcedInPacket = new HashMap<>();

    private final NavigableMap<Integer, AccountEntry> peerAliases = new TreeMap<>();
    private int nextAlias;

    void clear() {
        nextAlias = 0;
        ownAliases.clear();
        announcedInPacket.clear();
        peerAliases.clear();
    }

    /** What is kept, of both sides. */
    int size() {
        return ownAliases.size() + announcedInPacket.size() + peerAliases.size();
    }

    /** The packet was accepted: aliases that it announced may stand alone. */
    void onAcknowledged(long number) {
        announcedInPacket.values().removeIf(announced -> announced == number);
    }

    boolean isUnacknowledged(int alias) {
        return announcedInPacket.containsKey(alias);
    }

    /** The peer's entry with its customer; null where its alias says nothing here. */
    AccountEntry resolve(AccountEntry entry) {
        if (entry.plan() >= 0) {
            peerAliases.put(entry.alias(), entry);
            peerAliases.headMap(peerAliases.lastKey() - MAX_ALIASES, true).clear();
            return entry;
        }
        AccountEntry known = peerAliases.get(entry.alias());
        return known == null
                ? null
                : new AccountEntry(
                        entry.alias(),
                        known.customer(),
                        known.plan(),
                        known.firstMember(),
                        known.memberCount(),
                        entry.delta(),
                        entry.count(),
                        entry.inFlight(),
                        entry.grant());
    }

    /** The alias of an entry's customer, which the packet of that number announces unless the peer has it. */
    int aliasOf(AccountEntry entry, long number) {
        Integer known = ownAliases.get(entry.customer());
        int alias = known != null ? known : nextAlias++;
        if (known == null) {
            ownAliases.put(entry.customer(), alias);
            if (ownAliases.size() > MAX_ALIASES) {
                long oldest = ownAliases.keySet().iterator().next();
                announcedInPacket.remove(ownAliases.remove(oldest));
            }
        }
        if (known == null || announcedInPacket.containsKey(alias)) {
            announcedInPacket.put(alias, number);
        }
        return alias;
    }
}
