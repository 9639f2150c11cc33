/**
 * Enforces the tenants' request quotas across all proxies. Each proxy counts all admitted requests, which the proxies
 * exchange with their neighbours in a heap over the members of the session view. The package is deterministic and uses
 * neither sockets nor a clock.
 */
package reedmux.proxy.quota;
