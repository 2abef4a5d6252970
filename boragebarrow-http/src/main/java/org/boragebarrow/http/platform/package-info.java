/** Adapters that access the platform's services over HTTP, and the JSON messages that they exchange. */
package org.boragebarrow.http.platform;
