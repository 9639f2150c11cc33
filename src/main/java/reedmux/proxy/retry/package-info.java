/** The budget of retries and hedged attempts, shared by all proxies. Deterministic. */
package reedmux.proxy.retry;
