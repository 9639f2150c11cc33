/** Quota counters over a heap of members, shared by the gatekeeper and the proxy. */
package reedmux.common.quota;
