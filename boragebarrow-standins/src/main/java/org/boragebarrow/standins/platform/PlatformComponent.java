package org.boragebarrow.standins.platform;

/** The components of the platform; each has its own faults and call counts. */
public enum PlatformComponent {
    /** The table service. */
    TABLE,
    /** The object store. */
    OBJECTS,
    /** The host list. */
    HOSTS,
    /** The weight store. */
    WEIGHTS
}
