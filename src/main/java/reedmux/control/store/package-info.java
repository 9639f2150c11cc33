/**
 * The store program ({@link reedmux.control.store.StoreServer}). It persists the configuration on disk ({@link
 * reedmux.control.store.ReplicaStorage}), agrees on changes with the other stores by consensus, and publishes committed
 * changes ({@link reedmux.control.store.ChangePublisher}). Sockets, timers and protocol state are confined to the
 * reactor thread; a second thread performs blocking disk I/O.
 */
package reedmux.control.store;
