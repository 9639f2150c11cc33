package reedmux.gatekeeper.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/** The accounts of all customers that this gateway has heard of, by the customer's number. */
final class CustomerAccounts {
    private final PolicyContext context;
    private final HeapTopology topology;
    private final Map<Long, CustomerAccount> accounts = new LinkedHashMap<>();
    private final QuotaShare quotaShare = new QuotaShare();

    CustomerAccounts(PolicyContext context, HeapTopology topology) {
        this.context = context;
        this.topology = topology;
    }

    /** All accounts, in the order of their creation; what is removed from it is forgotten. */
    Collection<CustomerAccount> all() {
        return accounts.values();
    }

    /** The part of this gateway's share that is this process's: all, unless another one serves beside it. */
    QuotaShare quotaShare() {
        return quotaShare;
    }

    /** The account of a customer, or null where there is none. */
    CustomerAccount find(long customer) {
        return accounts.get(customer);
    }

    /** An account that all requests of other regions have in common, which is never reported to peers. */
    CustomerAccount createRemoteAccount(CustomerPlan plan) {
        int none = TrafficPolicy.REMOTE_REQUEST_PLAN;
        return new CustomerAccount(none, plan, none, context.settings.self(), 1, quotaShare, 0);
    }

    /** The account of a customer; a new one has the rate limit's tokens that it would have gathered since the start. */
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

    /** The account of a request, whose plan and gateways hold: what a peer says of them may be of older settings. */
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
