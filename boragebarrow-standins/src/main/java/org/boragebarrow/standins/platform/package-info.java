/** Stand-ins for the platform: table service, object store, host list and weight store, with fault injection. */
package org.boragebarrow.standins.platform;
