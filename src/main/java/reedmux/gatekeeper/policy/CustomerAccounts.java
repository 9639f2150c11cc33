package reedmux.gatekeeper.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/** The accounts of all customers known to this gateway, by customer number. */
final class CustomerAccounts {
    private final PolicyContext context;
    private final HeapTopology topology;
    private final Map<Long, CustomerAccount> accounts = new LinkedHashMap<>();
    private final QuotaShare quotaShare = new QuotaShare();

    CustomerAccounts(PolicyContext context, HeapTopology topology) {
        this.context = context;
        this.topology = topology;
    }

    /** Returns all accounts in the order of their creation. Removing an account from this view evicts it. */
    Collection<CustomerAccount> all() {
        return accounts.values();
    }

    /**
     * Returns the fraction of this gateway's share that belongs to this process: 1 unless a second process serves
     * alongside it.
     */
    QuotaShare quotaShare() {
        return quotaShare;
    }

    /** Returns the account of a customer, or null if there is none. */
    CustomerAccount find(long customer) {
        return accounts.get(customer);
    }

    /** Creates the account shared by all requests from other regions, which is never reported to peers. */
    CustomerAccount createRemoteAccount(CustomerPlan plan) {
        int none = TrafficPolicy.REMOTE_REQUEST_PLAN;
        return new CustomerAccount(none, plan, none, context.settings.self(), 1, quotaShare, 0);
    }

    /**
     * Returns the account of a customer. A new account starts with the rate-limit tokens that it would have accumulated
     * since start-up.
     */
    CustomerAccount getOrCreate(long customer, int plan, int firstMember, int memberCount) {
        CustomerAccount account = find(customer);
        if (account == null) {
            CustomerPlan configured = context.settings.plans().get(plan);
            account =
                    new CustomerAccount(customer, configured, plan, firstMember, memberCount, quotaShare, context.now);
            account.member = topology.includesSelf(firstMember, memberCount);
            account.rateLimitTokens = Math.min(
                    account.share(configured.rateLimitBurst()),
                    account.share(configured.rateLimit())
                            * (context.now - context.startedAt)
                            / PolicyContext.MICROS_PER_SECOND);
            accounts.put(customer, account);
        }
        account.maxMemberCount = Math.max(account.maxMemberCount, memberCount);
        return account;
    }

    /**
     * Returns the account of a request. The request's plan and gateways take precedence over those reported by a peer,
     * which may come from older settings.
     */
    CustomerAccount getOrCreate(IncomingRequest request) {
        CustomerAccount account =
                getOrCreate(request.customer(), request.plan(), request.firstMember(), request.memberCount());
        if (account.planIndex != request.plan()
                || account.firstMember != request.firstMember()
                || account.memberCount != request.memberCount()) {
            account.changePlan(context.settings.plans().get(request.plan()), request);
            account.member = topology.includesSelf(account.firstMember, account.memberCount);
        }
        return account;
    }
}
