/** Calls to the admin API of hosts. */
package org.boragebarrow.ctl.admin;
