package org.boragebarrow.standins.service;

import static com.google.common.base.Preconditions.checkNotNull;

/** A request to book a furnace slot for an order. */
public record Booking(String slot, String order) {
    public Booking {
        checkNotNull(slot);
        checkNotNull(order);
    }
}
