package dfproto

// HeaderEra is the header of the platform's answers with the era of its store, which
// rises by one each time that the store comes back from an older copy.
const HeaderEra = "store-era"
