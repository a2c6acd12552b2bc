//! May a request be sent again, hedged or refused, and what may the caller be told.
