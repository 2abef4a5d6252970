/** Requests as callers send them, with their responses checked for completeness. */
package org.boragebarrow.ctl.caller;
