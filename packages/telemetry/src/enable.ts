// roarr writes nothing unless ROARR_LOG is set before the module is loaded.
process.env.ROARR_LOG ??= 'true';
