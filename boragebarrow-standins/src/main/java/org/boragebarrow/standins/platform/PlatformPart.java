package org.boragebarrow.standins.platform;

/** The parts of the platform that fail and are counted separately. */
public enum PlatformPart {
    /** The table service. */
    TABLE,
    /** The object store. */
    OBJECTS,
    /** The host list. */
    HOSTS,
    /** The weight store. */
    WEIGHTS
}
