//! Tests of the search for the team of a request.
