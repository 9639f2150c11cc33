/** The counting of quotas over a heap of members, as the gatekeeper and the proxy both do it. */
package reedmux.common.quota;
