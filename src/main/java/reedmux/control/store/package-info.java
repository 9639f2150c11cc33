/**
 * The store program ({@link reedmux.control.store.StoreServer}): it keeps the configuration on disk ({@link
 * reedmux.control.store.ReplicaStorage}), decides with the other stores on changes, and publishes what is committed
 * ({@link reedmux.control.store.ChangePublisher}). Sockets, timers and the protocol's state belong to the reactor's
 * thread; one more thread waits for the disk.
 */
package reedmux.control.store;
