/** The budget for retries and hedged attempts, which all proxies share. Deterministic. */
package reedmux.proxy.retry;
