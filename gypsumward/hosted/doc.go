// Package hosted runs an entry instance on the users' platform: it joins the
// front, the keeper of the cell and the leads of its terms to the platform's store,
// runners and clients.
package hosted
