/**
 * The tenants' counts at one proxy, on DESIGN's heap over a membership that changes. Pure.
 */
package reedmux.proxy.quota;
