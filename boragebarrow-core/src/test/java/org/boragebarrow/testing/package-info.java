/** In-memory fakes of the ports for the tests of all modules and for the stand-ins. */
package org.boragebarrow.testing;
