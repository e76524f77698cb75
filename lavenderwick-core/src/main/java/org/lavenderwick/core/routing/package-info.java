/** Choice of the endpoint that answers a read. */
package org.lavenderwick.core.routing;
