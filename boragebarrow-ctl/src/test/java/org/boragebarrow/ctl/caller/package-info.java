/** Tests of requests as callers send them. */
package org.boragebarrow.ctl.caller;
