/** The adapter for plain services. */
package org.boragebarrow.http.service;
