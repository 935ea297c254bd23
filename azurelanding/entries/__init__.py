"""Exchange status, records, states and answers with peer daemons."""
