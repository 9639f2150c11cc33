/** Network addresses as the settings and the protocols write them. */
package reedmux.common.net;
