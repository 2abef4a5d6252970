/** In-memory fakes of the ports, shared by the tests of all modules and by the stand-ins. */
package org.boragebarrow.testing;
