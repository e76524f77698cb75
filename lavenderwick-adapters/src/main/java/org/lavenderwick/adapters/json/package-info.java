/** JSON form of the values of the core. */
package org.lavenderwick.adapters.json;
