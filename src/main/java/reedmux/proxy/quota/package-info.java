/**
 * The tenants' request quotas, enforced by all proxies together: each counts all admitted requests, exchanged with its
 * neighbours in a heap over the members of the session view. Deterministic; knows no socket and no clock.
 */
package reedmux.proxy.quota;
