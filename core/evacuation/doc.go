// Package evacuation keeps the set of data centres that the operator has evacuated, as read from the
// operator's rows, with the time of its last change. While the rows cannot be read the last known set
// stays in force, and a holder that has not read them for too long is reported.
package evacuation
