package org.boragebarrow.ctl.admin;

/**
 * A change that a host accepted.
 *
 * @param number the change's number, which is also the entry's new version
 * @param value the entry's new value as JSON
 */
public record AcceptedChange(long number, String changeId, String value) {}
