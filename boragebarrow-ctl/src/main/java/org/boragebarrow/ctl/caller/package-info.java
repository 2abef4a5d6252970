/** Requests as callers send them, with their answers checked for wholeness. */
package org.boragebarrow.ctl.caller;
