process.stdout.write('no specification yet\n');
